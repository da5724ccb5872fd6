#pragma once

#include <span>
#include <string>

namespace Ibisturn {

/// The bytes as lower-case hexadecimal digits, two for each. Thread safety: any thread.
std::string toHexadecimal(std::span<const unsigned char> bytes);

} // namespace Ibisturn
