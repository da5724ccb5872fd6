#include <LibDecision/Streams/OriginTable.h>

namespace Ibisturn {

OriginTable::Index OriginTable::acquire(const StreamOrigin& origin)
{
    const auto [known, isNew] = indexes_.try_emplace(origin);
    if (isNew && freeSlots_.empty()) {
        known->second = static_cast<Index>(slots_.size());
        slots_.emplace_back();
    } else if (isNew) {
        known->second = freeSlots_.back();
        freeSlots_.pop_back();
    }
    auto& slot = slots_[known->second];
    if (isNew)
        slot.origin = origin;
    ++slot.references;
    return known->second;
}

void OriginTable::release(Index index)
{
    auto& slot = slots_[index];
    if (--slot.references > 0)
        return;
    indexes_.erase(slot.origin);
    slot.origin = {};
    freeSlots_.push_back(index);
}

} // namespace Ibisturn
