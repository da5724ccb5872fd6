#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstddef>

namespace Ibisturn {

/// Limits for the claims of one instance.
struct ClaimLimits {
    /// Rate and burst of transactions to the store.
    double batchesPerSecond { 20 };
    double batchBurst { 5 };
    /// Transactions sent and not yet replied to.
    std::size_t maxBatchesInFlight { 4 };
    /// Keys in one transaction; etcd accepts at most 128 operations.
    std::size_t maxKeysPerBatch { 64 };
    /// Claims waiting for the store; further ones are refused before anything is written.
    std::size_t maxPending { 512 };
    /// Claims kept in memory, and callers waiting for one claim.
    std::size_t maxClaims { 8'000 };
    std::size_t maxWaiters { 8 };
    /// Larger answers are delivered to the caller but not stored.
    ByteCount maxAnswerSize { 2 * 1024 };
    /// How long an attempt waits for its claim to be written.
    Duration claimTimeout { std::chrono::seconds(3) };
    /// Backoff after a transaction was refused or its reply was lost.
    Duration retryBackoff { std::chrono::milliseconds(200) };
    /// How long after the first write of a claim its owner may dispatch it.
    Duration dispatchWindow { std::chrono::seconds(10) };
    /// How long the store keeps a claim after its last write.
    Duration retention { std::chrono::hours(24) };
    std::size_t maxIssuedKeysPerWorkspace { 256 };
};

} // namespace Ibisturn
