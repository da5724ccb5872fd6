#pragma once

#include <LibDecision/Claims/ClaimId.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// A backend server's whole answer, kept for retries.
struct StoredAnswer {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    auto operator<=>(const StoredAnswer&) const = default;
};

enum class ClaimRecordState : std::uint8_t {
    /// The owner may have dispatched it, or may still do so.
    Claimed,
    /// It ran; the answer is there unless it was too large to keep.
    Finished,
    /// It was dispatched and its outcome is lost.
    Unknown,
};

/// What the store holds of a claim. Its life ends with the store's lease that it is attached to.
struct ClaimRecord {
    ClaimOwner owner;
    ClaimNumber number;
    std::string bodyDigest;
    ClaimRecordState state { ClaimRecordState::Claimed };
    std::optional<StoredAnswer> answer;
};

/// The record as bytes. Thread safety: any thread.
std::string encodeClaimRecord(const ClaimRecord& record);

/// Reads a record; nothing if the bytes are not one, which must count as a claim of unknown outcome.
/// Thread safety: any thread.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace Ibisturn
