#pragma once

#include <LibCore/Quantity.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// What every transaction on records writes beside them. Its revision is the revision of the configuration, and
/// `previous` chains each configuration to the one before it, so that a reader notices a change that it was not told.
struct RecordHead {
    Revision previous;
};

/// The store's key of the head. Thread safety: any thread.
std::string recordHeadKey(std::string_view prefix);

/// The head as the store's text. Thread safety: any thread.
std::string formatRecordHead(const RecordHead& head);

/// Reads the store's text; nothing if it is not a head's. Thread safety: any thread.
std::optional<RecordHead> parseRecordHead(std::string_view text);

} // namespace Ibisturn
