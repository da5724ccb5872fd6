#pragma once

#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// A change that was new to a StoreMirror.
struct AppliedChange {
    RecordChange change;
    /// What was known of the key before; unset if nothing was.
    std::optional<RecordChange> previous;

    /// Whether a later era of the store began between the two changes: the store came back from a copy, whose entries may be older than
    /// what was known.
    bool isFromOlderCopy() const { return previous && previous->revision.era() < change.revision.era(); }
};

/// One instance's replica of entries of the store, updated by the store itself or by other instances. A key only ever moves
/// to later revisions, deletions included, so delayed, stale and duplicate answers have no effect. In a later era of the store, all of its
/// entries are new.
/// Thread safety: one thread at a time.
class StoreMirror {
public:
    /// Applies one change; returns nullopt if it was not new.
    std::optional<AppliedChange> apply(const RecordChange& change);

    /// Applies a listing of all keys below `prefix`, whose first page was read at `position`, and returns the new changes.
    /// A key that is missing was deleted unless a later change of it is known. A deletion known from an earlier era counts as one of
    /// this era then.
    std::vector<AppliedChange> applyListing(std::string_view prefix, Revision position, const std::vector<RecordChange>& listed);

    /// The newest change of `key`, or null.
    const RecordChange* find(const std::string& key) const;

    /// The newest change of each key below `prefix`, deletions included.
    std::vector<RecordChange> changesBelow(std::string_view prefix) const;

    /// Discards the oldest deletions so that at most `maxCount` are kept. Returns the revision of the newest one that was
    /// discarded; zero if none was.
    Revision discardDeletions(std::size_t maxCount);

private:
    std::map<std::string, RecordChange, std::less<>> changes_;
};

} // namespace Ibisturn
