#pragma once

#include <cstdint>
#include <limits>

namespace Ibisturn {

/// No limit of a body's size. Beast of Boost 1.74 holds that every Content-Length exceeds boost::none.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

} // namespace Ibisturn
