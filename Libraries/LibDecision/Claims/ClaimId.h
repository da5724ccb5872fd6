#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <compare>
#include <string>

namespace Ibisturn {

/// Identifies what may run at most once: a caller's idempotency key within its workspace.
struct ClaimId {
    WorkspaceId workspace;
    IdempotencyKey key;

    auto operator<=>(const ClaimId&) const = default;
};

/// One incarnation of an instance. A restarted instance is a different owner.
struct ClaimOwner {
    InstanceId instance;
    Incarnation incarnation;

    auto operator<=>(const ClaimOwner&) const = default;
};

/// One caller's request for a claim, numbered by the instance that received it.
using ClaimAttemptId = Quantity<struct ClaimAttemptTag, std::uint64_t>;

/// One batch of writes to the store, numbered by its instance.
using ClaimBatchId = Quantity<struct ClaimBatchTag, std::uint64_t>;

/// Distinguishes the claims made by one incarnation of an instance; never reused.
using ClaimNumber = Quantity<struct ClaimNumberTag, std::uint64_t>;

/// The store key of a claim, without the store's prefix: one segment for the workspace and one for the idempotency
/// key, both as digests, so that no caller-supplied text appears in a store key. Thread safety: any thread.
std::string claimStoreKey(const ClaimId& id);

} // namespace Ibisturn
