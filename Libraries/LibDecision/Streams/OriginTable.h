#pragma once

#include <LibDecision/Streams/StreamNote.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Ibisturn {

/// Keeps one copy of each origin that is referred to, so that a reference costs four bytes. Few origins are in use at a time.
/// Thread safety: one thread at a time.
class OriginTable {
public:
    using Index = std::uint32_t;

    /// Refers to an origin; each reference must be released.
    Index acquire(const StreamOrigin& origin);

    /// Precondition: acquire() returned `index`, and it has not been released as often.
    void release(Index index);

    /// Precondition: `index` is referred to.
    const StreamOrigin& at(Index index) const { return slots_[index].origin; }

    /// The number of distinct origins.
    std::size_t size() const { return indexes_.size(); }

private:
    struct Slot {
        StreamOrigin origin;
        std::size_t references { 0 };
    };

    std::vector<Slot> slots_;
    std::vector<Index> freeSlots_;
    std::map<StreamOrigin, Index> indexes_;
};

} // namespace Ibisturn
