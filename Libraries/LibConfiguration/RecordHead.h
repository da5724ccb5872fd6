#pragma once

#include <LibCore/Revision.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Entry that every transaction on records writes along with them. Its revision is the revision of the configuration,
/// and `previous` links each configuration to its predecessor, so that a reader detects a missed change.
struct RecordHead {
    Revision previous;
};

/// The store key of the head. Thread safety: any thread.
std::string recordHeadKey(std::string_view prefix);

/// Serializes the head for the store. Thread safety: any thread.
std::string formatRecordHead(const RecordHead& head);

/// Parses a head from the store; returns nullopt if it is malformed. Thread safety: any thread.
std::optional<RecordHead> parseRecordHead(std::string_view text);

} // namespace Ibisturn
