#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstddef>

namespace Ibisturn {

/// Bounds of one instance's claims.
struct ClaimLimits {
    /// Transactions a second to the store, and how many may follow at once.
    double batchesPerSecond { 20 };
    double batchBurst { 5 };
    /// Transactions without a reply.
    std::size_t mostBatchesInFlight { 4 };
    /// Keys in one transaction; etcd takes 128 operations.
    std::size_t mostKeysPerBatch { 64 };
    /// Claims that wait for the store; further ones are refused before anything is written.
    std::size_t mostPending { 512 };
    /// Claims kept in memory, and callers that wait for one claim.
    std::size_t mostClaims { 8'000 };
    std::size_t mostWaiters { 8 };
    /// Larger answers are passed on but not kept.
    ByteCount largestAnswer { 2 * 1024 };
    /// How long an attempt waits for its claim.
    Duration patience { std::chrono::seconds(3) };
    /// After a transaction was refused or lost, the next one waits so long.
    Duration retryPause { std::chrono::milliseconds(200) };
    /// From the first write of a claim, the time in which its owner may dispatch it.
    Duration dispatchWindow { std::chrono::seconds(10) };
    /// How long the store keeps a claim after its last write.
    Duration retention { std::chrono::hours(24) };
    std::size_t mostIssuedKeysPerWorkspace { 256 };
};

} // namespace Ibisturn
