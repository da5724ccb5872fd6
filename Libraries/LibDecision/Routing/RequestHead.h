#pragma once

#include <LibCore/Identifier.h>

#include <optional>
#include <string>

namespace Ibisturn {

/// What decisions may know of a request before its body is read. It never holds the key itself.
struct RequestHead {
    std::string path;
    std::optional<KeyDigest> key;
};

} // namespace Ibisturn
