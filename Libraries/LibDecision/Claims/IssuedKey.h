#pragma once

#include <LibDecision/Claims/ClaimId.h>

#include <optional>

namespace Ibisturn {

/// An idempotency key that an instance issued. Only the life of the instance that it names may run it, so it
/// needs no claim in the store.
struct IssuedKey {
    ClaimOwner issuer;
    std::uint64_t serial { 0 };
};

/// The key as callers send it. Thread safety: any thread.
IdempotencyKey formatIssuedKey(const IssuedKey& key);

/// Reads an issued key; nothing if the key is a caller's own. Thread safety: any thread.
std::optional<IssuedKey> parseIssuedKey(const IdempotencyKey& key);

} // namespace Ibisturn
