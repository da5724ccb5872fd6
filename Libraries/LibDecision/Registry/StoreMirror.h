#pragma once

#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// What one instance knows of entries of the store, from the store itself or from other instances. Each key only ever
/// moves to later revisions, deletions included, so that late, stale and second answers change nothing.
/// Thread safety: one thread at a time.
class StoreMirror {
public:
    /// Takes in one change and returns whether it is news.
    bool apply(const RecordChange& change);

    /// Takes in a listing of all keys below `prefix`, whose first page was read at `position`, and returns what is news.
    /// A key that is missing was deleted unless a later change of it is known.
    std::vector<RecordChange> applyListing(std::string_view prefix, Revision position, const std::vector<RecordChange>& listed);

    /// The newest change of `key`, or null.
    const RecordChange* find(const std::string& key) const;

    /// The newest change of each key below `prefix`, deletions included.
    std::vector<RecordChange> changesBelow(std::string_view prefix) const;

    /// Forgets all but `most` deletions, the oldest ones first.
    void forgetDeletions(std::size_t most);

private:
    std::map<std::string, RecordChange, std::less<>> changes_;
};

} // namespace Ibisturn
