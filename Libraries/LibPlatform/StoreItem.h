#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/OddItemLog.h>
#include <LibPlatform/StoreClient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// An item of a store's reply, as a store client read it. A field is unset if it was missing, of another type or unreadable.
struct StoreItem {
    std::optional<std::string> key;
    std::optional<std::string> value;
    std::optional<std::int64_t> revision;
    bool isDeletion { false };
};

/// What the items of one reply must fit.
struct StoreItemBounds {
    /// The prefix that was asked for.
    std::string_view prefix;
    /// The store's revision at the reply: no item has a later one.
    Revision current;
    /// Taken for an item without a revision.
    Revision assumed;
};

/// Makes a change of an item. An item without a value that can be read becomes a change to an empty value, which describes nothing, so that
/// what the key meant before does not stay in force. Unset if the item names no key below the prefix. Odd items are reported to `oddItems`; the clock
/// is read for them only.
/// Thread safety: as for `oddItems`.
std::optional<StoreChange> makeStoreChange(const Clock& clock, StoreItem item, const StoreItemBounds& bounds, OddItemLog& oddItems);

} // namespace Ibisturn
