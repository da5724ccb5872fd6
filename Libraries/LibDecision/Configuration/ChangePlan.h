#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibCore/ResultCode.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Ibisturn {

/// A text as the store holds it.
struct StoredText {
    std::string key;
    std::string value;
    Revision revision;
};

/// What an operator wants one record to be.
struct RecordEdit {
    RecordName name;
    /// The record's JSON; nothing deletes it.
    std::optional<std::string> json;
    /// The revision that the operator saw; zero if there was no such record.
    Revision expected;
};

/// Edits that take effect together or not at all.
struct ChangeRequest {
    /// Names the change, so that one whose reply was lost is recognised.
    std::string id;
    /// The name of the operator's credential.
    std::string who;
    /// The time of the change in ISO 8601.
    std::string when;
    std::vector<RecordEdit> edits;
};

/// One change of a record, as its history shows it.
struct HistoryEntry {
    std::string id;
    std::string who;
    std::string when;
    /// The record's JSON after the change; nothing if it was deleted.
    std::optional<std::string> json;
};

/// Write all of `writes` or none.
struct ChangeReady {
    struct Write {
        std::string key;
        std::optional<std::string> value;
        Revision expected;
    };
    std::vector<Write> writes;
};

/// The change took effect earlier; its reply was lost.
struct ChangeApplied {
    /// The revision of the change, or of a later one of its first record.
    Revision revision;
};

/// The change must not be written.
struct ChangeRefused {
    ResultCode code { ResultCode::RecordInvalid };
    std::string reason;
    /// On a conflict, the present records that the edits name.
    std::vector<StoredText> current;
};

using ChangePlan = std::variant<ChangeReady, ChangeApplied, ChangeRefused>;

/// The most edits that fit into one transaction of the store.
constexpr std::size_t mostEdits = 60;

/// The store's key of a record's history, which outlives the record. Thread safety: any thread.
std::string historyKey(std::string_view prefix, const RecordName& name);

/// Reads a history's text, the latest change first; empty if it is malformed. Thread safety: any thread.
std::vector<HistoryEntry> parseHistory(std::string_view text);

/// Decides on a change from what the store holds below the records' folder and from the edited records' histories.
/// Records are checked as the set that the change would make; a problem that was there before does not refuse it.
/// Precondition: `request` has edits. Thread safety: any thread.
ChangePlan planChange(const std::string& prefix, const std::vector<StoredText>& stored, const ChangeRequest& request);

} // namespace Ibisturn
