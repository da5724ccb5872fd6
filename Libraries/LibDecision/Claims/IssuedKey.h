#pragma once

#include <LibDecision/Claims/ClaimId.h>

#include <optional>

namespace Ibisturn {

/// An idempotency key issued by an instance. Only the incarnation named in it may run it, so it needs no claim in
/// the store.
struct IssuedKey {
    ClaimOwner issuer;
    std::uint64_t serial { 0 };
};

/// The key as callers send it. Thread safety: any thread.
IdempotencyKey formatIssuedKey(const IssuedKey& key);

/// Parses an issued key; nullopt if the key was chosen by the caller. Thread safety: any thread.
std::optional<IssuedKey> parseIssuedKey(const IdempotencyKey& key);

} // namespace Ibisturn
