#include <LibDecision/Registry/StoreMirror.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Ibisturn {

std::optional<AppliedChange> StoreMirror::apply(const RecordChange& change)
{
    const auto found = changes_.find(change.key);
    if (found == changes_.end()) {
        changes_.emplace(change.key, change);
        return AppliedChange { change, std::nullopt };
    }
    auto& known = found->second;
    if (change.revision <= known.revision)
        return std::nullopt;
    return AppliedChange { change, std::exchange(known, change) };
}

std::vector<AppliedChange> StoreMirror::applyListing(std::string_view prefix, Revision position, const std::vector<RecordChange>& listed)
{
    std::vector<AppliedChange> newChanges;
    std::set<std::string_view> present;
    for (const auto& change : listed) {
        present.insert(change.key);
        if (auto applied = apply(change))
            newChanges.push_back(std::move(*applied));
    }
    for (auto entry = changes_.lower_bound(prefix); entry != changes_.end() && entry->first.starts_with(prefix); ++entry) {
        auto& known = entry->second;
        if (known.revision > position || present.contains(known.key))
            continue;
        if (!known.value) {
            // The store lacks the key in this era too, so its next change is not one of an older copy.
            if (known.revision.era() < position.era())
                known.revision = position;
            continue;
        }
        RecordChange deletion { known.key, std::nullopt, position };
        newChanges.push_back({ deletion, std::exchange(known, deletion) });
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
