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

/// Whether `status` is one of HTTP. Beast takes any three digits for a status.
constexpr bool isHttpStatus(std::uint32_t status)
{
    constexpr std::uint32_t first = 100;
    constexpr std::uint32_t last = 599;
    return status >= first && status <= last;
}

/// Whether `status` is that of an answer, and not that of an interim answer, which precedes one.
constexpr bool isFinalStatus(std::uint32_t status)
{
    constexpr std::uint32_t first = 200;
    return isHttpStatus(status) && status >= first;
}

/// The limit of a buffer for messages whose heads have at most `headLimit` bytes.
constexpr std::size_t receiveBufferLimit(std::size_t headLimit)
{
    return headLimit + maxUnparsedBytes;
}

} // namespace Ibisturn
