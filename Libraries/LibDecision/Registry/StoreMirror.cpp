#include <LibDecision/Registry/StoreMirror.h>

#include <algorithm>
#include <set>

namespace Ibisturn {

bool StoreMirror::apply(const RecordChange& change)
{
    const auto found = changes_.find(change.key);
    if (found == changes_.end()) {
        changes_.emplace(change.key, change);
        return true;
    }
    auto& known = found->second;
    if (change.revision <= known.revision)
        return false;
    known = change;
    return true;
}

std::vector<RecordChange> StoreMirror::applyListing(std::string_view prefix, Revision position, const std::vector<RecordChange>& listed)
{
    std::vector<RecordChange> newChanges;
    std::set<std::string_view> present;
    for (const auto& change : listed) {
        present.insert(change.key);
        if (apply(change))
            newChanges.push_back(change);
    }
    for (auto entry = changes_.lower_bound(prefix); entry != changes_.end() && entry->first.starts_with(prefix); ++entry) {
        auto& known = entry->second;
        if (!known.value || known.revision > position || present.contains(known.key))
            continue;
        known = { known.key, std::nullopt, position };
        newChanges.push_back(known);
    }
    return newChanges;
}

const RecordChange* StoreMirror::find(const std::string& key) const
{
    const auto found = changes_.find(key);
    return found == changes_.end() ? nullptr : &found->second;
}

std::vector<RecordChange> StoreMirror::changesBelow(std::string_view prefix) const
{
    std::vector<RecordChange> below;
    for (auto entry = changes_.lower_bound(prefix); entry != changes_.end() && entry->first.starts_with(prefix); ++entry)
        below.push_back(entry->second);
    return below;
}

Revision StoreMirror::discardDeletions(std::size_t maxCount)
{
    std::vector<Revision> deletions;
    for (const auto& [key, change] : changes_) {
        if (!change.value)
            deletions.push_back(change.revision);
    }
    if (deletions.size() <= maxCount)
        return {};
    std::sort(deletions.begin(), deletions.end());
    const auto newestDiscarded = deletions[deletions.size() - maxCount - 1];
    std::erase_if(changes_, [newestDiscarded](const auto& entry) { return !entry.second.value && entry.second.revision <= newestDiscarded; });
    return newestDiscarded;
}

} // namespace Ibisturn
