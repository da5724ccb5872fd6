#include <LibPlatform/StoreListing.h>

#include <utility>

namespace Ibisturn {

bool StoreListing::add(StoreEntry entry)
{
    lastKey_ = entry.key;
    bool isKept = true;
    if (entry.value.size() > smallValue.count()) {
        isKept = largeValues_ + entry.value.size() <= maxLargeValues.count();
        largeValues_ += isKept ? entry.value.size() : 0;
        if (!isKept)
            entry.value = std::string();
    }
    const auto found = entries_.find(entry.key);
    hasNewKey_ = hasNewKey_ || found == entries_.end();
    if (found != entries_.end() && found->second.revision >= entry.revision)
        return isKept;
    size_ += sizeof(entry) + 2 * entry.key.size() + entry.value.size();
    auto key = entry.key;
    entries_.insert_or_assign(std::move(key), std::move(entry));
    return isKept;
}

void StoreListing::endPage(bool hasMore)
{
    if (size_ > maxSize.count())
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The store's listing exceeds the limit");
    isComplete_ = !hasMore;
    if (isComplete_)
        return;
    // A store that repeats a page may do so forever, and what an empty page lacks would be taken for removed.
    if (!std::exchange(hasNewKey_, false))
        throw Error(ResultCode::StoreUnavailable, Ran::No, "A page of the store's listing has no new key, but more pages follow");
    after_ = lastKey_;
}

std::vector<StoreEntry> StoreListing::take()
{
    std::vector<StoreEntry> entries;
    entries.reserve(entries_.size());
    for (auto& [key, entry] : entries_)
        entries.push_back(std::move(entry));
    entries_.clear();
    return entries;
}

} // namespace Ibisturn
