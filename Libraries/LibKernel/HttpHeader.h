#pragma once

#include <string>

namespace Ibisturn {

struct HttpHeader {
    std::string name;
    std::string value;
};

} // namespace Ibisturn
