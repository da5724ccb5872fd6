#pragma once

#include <LibConfiguration/Snapshot.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Where a record lies below the store's prefix.
struct RecordName {
    std::string kind;
    std::string name;
};

/// Splits `records/KIND/NAME` after `prefix`; nothing if `key` is not a record's. Thread safety: any thread.
std::optional<RecordName> parseRecordKey(std::string_view prefix, std::string_view key);

/// The store's key of a record. Thread safety: any thread.
std::string recordKey(std::string_view prefix, const RecordName& name);

/// All records as texts at one revision, from which snapshots are compiled.
/// Thread safety: one thread at a time.
class RecordSet {
public:
    struct Entry {
        std::string json;
        Revision revision;
    };

    /// `prefix` is the store's prefix of the deployment.
    explicit RecordSet(std::string prefix);

    /// Forgets everything and starts at `revision`.
    void reset(Revision revision);

    /// Puts or, without a value, deletes the record at `key`. Keys of other kinds are ignored.
    void apply(const std::string& key, const std::optional<std::string>& json, Revision revision);

    /// Moves the set's revision forward; an older one is ignored.
    void advance(Revision revision);

    /// Compiles all records. One that can't be read is kept as of an unknown schema, which fails closed.
    /// Those at the keys `without` are left out.
    SnapshotPointer compile(const std::set<std::string>& without = {}) const;

    /// The revision that the set has reached.
    Revision revision() const { return revision_; }

    /// The texts by the store's key.
    const std::map<std::string, Entry, std::less<>>& entries() const { return entries_; }

private:
    std::string prefix_;
    Revision revision_;
    /// Of the latest change of a record, deletions included.
    Revision lastChange_;
    std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace Ibisturn
