#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace Ibisturn {

/// No limit of the body size. In Boost 1.74, Beast treats every Content-Length as larger than boost::none.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

/// Limit of the received bytes of a message that wait to be parsed. Beast limits neither the line before a chunk nor a trailer, and
/// keeps both in the buffer until they are complete.
constexpr std::size_t maxUnparsedBytes = 64UL * 1024;

/// The limit of a buffer for messages whose heads have at most `headLimit` bytes.
constexpr std::size_t receiveBufferLimit(std::size_t headLimit)
{
    return headLimit + maxUnparsedBytes;
}

} // namespace Ibisturn
