#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibCore/ResultCode.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Ibisturn {

/// An entry of the store.
struct StoredEntry {
    std::string key;
    std::string value;
    Revision revision;
};

/// An operator's change of one record.
struct RecordEdit {
    RecordName name;
    /// The record's new JSON; no value deletes the record.
    std::optional<std::string> json;
    /// The revision that the operator read; zero if the record did not exist.
    Revision expected;
};

/// Edits that are applied atomically.
struct ChangeRequest {
    /// Identifies the change, so that a retry after a lost reply is recognised.
    std::string id;
    /// The name of the operator's credential.
    std::string who;
    /// The time of the change in ISO 8601.
    std::string when;
    std::vector<RecordEdit> edits;
};

/// One change of a record in its history.
struct HistoryEntry {
    std::string id;
    std::string who;
    std::string when;
    /// The record's JSON after the change; no value if it was deleted.
    std::optional<std::string> json;
};

/// The change is valid: all of `writes` must be written in one transaction.
struct ChangeReady {
    struct Write {
        std::string key;
        std::optional<std::string> value;
        Revision expected;
    };
    std::vector<Write> writes;
};

/// The change was already applied; its reply was lost.
struct ChangeApplied {
    /// The revision of the change, or of a later one of its first record.
    Revision revision;
};

/// The change must not be written.
struct ChangeRefused {
    ResultCode code { ResultCode::RecordInvalid };
    std::string reason;
    /// On a conflict, the current state of the records that the edits name.
    std::vector<StoredEntry> current;
};

using ChangePlan = std::variant<ChangeReady, ChangeApplied, ChangeRefused>;

/// The maximum number of edits that fit into one transaction of the store.
constexpr std::size_t maxEdits = 60;

/// The store's key of a record's history, which outlives the record. Thread safety: any thread.
std::string historyKey(std::string_view prefix, const RecordName& name);

/// Reads a history's text, the latest change first; empty if it is malformed. Thread safety: any thread.
std::vector<HistoryEntry> parseHistory(std::string_view text);

/// Plans a change from the store's entries below the records' key prefix and the edited records' histories.
/// Checks the record set that the change would produce; a problem that existed before does not cause a refusal.
/// Precondition: `request` has edits. Thread safety: any thread.
ChangePlan planChange(const std::string& prefix, const std::vector<StoredEntry>& stored, const ChangeRequest& request);

} // namespace Ibisturn
