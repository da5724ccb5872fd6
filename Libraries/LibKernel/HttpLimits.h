#pragma once

#include <cstdint>
#include <limits>

namespace Ibisturn {

/// No limit of the body size. In Boost 1.74, Beast treats every Content-Length as larger than boost::none.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

} // namespace Ibisturn
