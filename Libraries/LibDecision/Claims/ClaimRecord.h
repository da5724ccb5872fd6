#pragma once

#include <LibDecision/Claims/ClaimId.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// A backend server's complete answer, stored for retries.
struct StoredAnswer {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    auto operator<=>(const StoredAnswer&) const = default;
};

enum class ClaimRecordState : std::uint8_t {
    /// Claimed; the owner may have dispatched it, or may still do so.
    Claimed,
    /// It ran; the answer is present unless it was too large to store.
    Finished,
    /// It was dispatched and its outcome is unknown.
    Unknown,
};

/// The stored record of a claim. It is attached to a lease of the store and expires with it.
struct ClaimRecord {
    ClaimOwner owner;
    ClaimNumber number;
    std::string bodyDigest;
    ClaimRecordState state { ClaimRecordState::Claimed };
    std::optional<StoredAnswer> answer;
};

/// Serializes a record. Thread safety: any thread.
std::string encodeClaimRecord(const ClaimRecord& record);

/// Deserializes a record; nullopt if the bytes are not a valid one, which must be treated as a claim of unknown outcome.
/// Thread safety: any thread.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace Ibisturn
