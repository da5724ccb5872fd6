#pragma once

#include <LibCore/Error.h>
#include <LibCore/Quantity.h>
#include <LibPlatform/StoreClient.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Ibisturn {

/// Collects the entries of a listing that comes in pages. The order in which a store lists its keys is its own, so that a listing goes on as
/// long as each page brings a key that no earlier one had. What it keeps is bounded.
/// Thread safety: one thread at a time.
class StoreListing {
public:
    /// An entry may be of any size up to this one.
    static constexpr ByteCount smallValue { 64UL * 1024 };
    /// The size of all larger values; those beyond are kept as empty, which describes nothing.
    static constexpr ByteCount maxLargeValues { 16UL * 1024 * 1024 };
    static constexpr ByteCount maxSize { 96UL * 1024 * 1024 };

    /// Adds an entry of the present page; of several with one key, the one with the latest revision is kept. Returns false if its value was
    /// too large to be kept.
    bool add(StoreEntry entry);

    /// The present page has ended. Throws Error with StoreUnavailable if more pages follow, but this one brought nothing to go on with, or if
    /// the listing is too large.
    void endPage(bool hasMore);

    /// Whether the last page has ended.
    bool isComplete() const { return isComplete_; }

    /// The key after which the next page begins; empty for the first one.
    const std::string& after() const { return after_; }

    /// The entries, in the order of their keys. Precondition: isComplete().
    std::vector<StoreEntry> take();

private:
    std::map<std::string, StoreEntry> entries_;
    std::string after_;
    std::string lastKey_;
    bool hasNewKey_ { false };
    bool isComplete_ { false };
    std::size_t size_ { 0 };
    std::size_t largeValues_ { 0 };
};

} // namespace Ibisturn
