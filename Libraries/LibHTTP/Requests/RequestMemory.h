#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibDecision/Admission/MemoryBudget.h>
#include <LibKernel/SocketOptions.h>

namespace Ibisturn {

/// How many bytes the instance may hold for requests; empty if it has no stated memory and is no part of a fleet.
/// docs/CAPACITY.md has the arithmetic. Thread safety: any thread.
std::optional<ByteCount> requestMemoryOf(const Settings& settings);

/// How many bytes the instance may hold for the connections of callers that send requests, besides the bodies; empty as above.
/// Thread safety: any thread.
std::optional<ByteCount> connectionMemoryOf(const Settings& settings);

/// What a connection needs while it has a request or is being closed: the bytes that arrive and that nobody reads.
constexpr ByteCount costOfConnection { receiveBufferBytes };

/// The memory that a request with a body of `size` bytes needs: the body, and a second time while it is written to a
/// backend server or a peer. Thread safety: any thread.
ByteCount costOfBody(std::uint64_t size);

/// The refusal of a request that needs `cost` bytes. Thread safety: any thread.
Error memoryUsedUpError(const MemoryBudget& budget, ByteCount cost, TimePoint now);

} // namespace Ibisturn
