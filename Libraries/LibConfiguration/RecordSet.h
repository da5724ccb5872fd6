#pragma once

#include <LibConfiguration/Snapshot.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Identifies a record below the store's prefix.
struct RecordName {
    std::string kind;
    std::string name;
};

/// Parses `records/KIND/NAME` after `prefix`; returns nullopt if `key` is not the key of a record. Thread safety: any thread.
std::optional<RecordName> parseRecordKey(std::string_view prefix, std::string_view key);

/// The store key of a record. Thread safety: any thread.
std::string recordKey(std::string_view prefix, const RecordName& name);

/// The JSON texts of all records at one revision, from which snapshots are compiled.
/// Thread safety: one thread at a time.
class RecordSet {
public:
    struct Entry {
        std::string json;
        Revision revision;
    };

    /// `prefix` is the deployment's key prefix in the store.
    explicit RecordSet(std::string prefix);

    /// Removes all records and starts at `revision`.
    void reset(Revision revision);

    /// Sets the record at `key`, or deletes it if `json` is unset. Keys that are not those of records are ignored.
    void apply(const std::string& key, const std::optional<std::string>& json, Revision revision);

    /// Advances the revision of the set; an older one is ignored.
    void advance(Revision revision);

    /// Compiles all records. A record that can't be parsed is treated as one of an unknown schema, which fails closed.
    /// Records whose keys are in `excludedKeys` are omitted.
    SnapshotPointer compile(const std::set<std::string>& excludedKeys = {}) const;

    /// The current revision of the set.
    Revision revision() const { return revision_; }

    /// The records by store key.
    const std::map<std::string, Entry, std::less<>>& entries() const { return entries_; }

private:
    std::string prefix_;
    Revision revision_;
    /// The revision of the latest change of a record, including deletions.
    Revision lastChange_;
    std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace Ibisturn
