#include <LibPlatform/StoreItem.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

std::optional<StoreChange> makeStoreChange(const Clock& clock, StoreItem item, const StoreItemBounds& bounds, OddItemLog& oddItems)
{
    if (!item.key || !item.key->starts_with(bounds.prefix)) {
        oddItems.report(clock.now(), item.key.value_or(std::string()), item.key ? "its key is not below the prefix" : "its key can't be read");
        return std::nullopt;
    }
    const bool hasRevision = item.revision && *item.revision > 0;
    // A later revision would hide all changes up to it.
    const auto revision = hasRevision ? std::min(Revision(*item.revision, bounds.current.era()), bounds.current) : bounds.assumed;
    const bool isWhole = hasRevision && (item.isDeletion || item.value);
    if (!isWhole)
        oddItems.report(clock.now(), *item.key, hasRevision ? "its value can't be read" : "its revision can't be read");
    if (item.isDeletion)
        return StoreChange { *std::move(item.key), std::nullopt, revision };
    auto value = isWhole ? std::move(item.value) : std::optional(std::string());
    return StoreChange { *std::move(item.key), std::move(value), revision };
}

} // namespace Ibisturn
