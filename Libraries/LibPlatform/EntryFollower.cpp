#include <LibPlatform/EntryFollower.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibKernel/Pause.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log followerLog("store");
/// Delay before a failed call to the store is retried; short, since a missed change may have to take effect at once.
constexpr Duration retryDelay = std::chrono::milliseconds(200);

} // namespace

EntryFollower::EntryFollower(StoreClient& store, std::string prefix, Callbacks callbacks)
    : store_(store)
    , prefix_(std::move(prefix))
    , callbacks_(std::move(callbacks))
{
}

Task<void> EntryFollower::run()
{
    for (;;) {
        std::string reason;
        try {
            co_await follow();
        } catch (const HistoryCompacted& compacted) {
            followerLog.info("Store has compacted its history; listing again.", { { "prefix", prefix_ } });
            continue;
        } catch (const std::exception& error) {
            reason = error.what();
        }
        if (!isUnavailable_)
            followerLog.warning("Store lost.", { { "prefix", prefix_ }, { "reason", reason } });
        isUnavailable_ = true;
        callbacks_.onUnavailable();
        co_await pause(retryDelay);
    }
}

Task<void> EntryFollower::follow()
{
    std::string prefix = prefix_;
    const StoreRange range = co_await store_.range(std::move(prefix));
    Listing listing { prefix_, range.revision, {} };
    for (const auto& entry : range.entries)
        listing.entries.push_back({ entry.key, entry.value, entry.revision });
    callbacks_.onListing(listing);
    if (std::exchange(isUnavailable_, false))
        followerLog.info("Store regained.", { { "prefix", prefix_ }, { "revision", range.revision } });
    callbacks_.onAvailable();
    std::function<void(StoreChanges)> onChanges = [this](const StoreChanges& changes) {
        std::vector<RecordChange> records;
        for (const auto& change : changes.changes)
            records.push_back({ change.key, change.value, change.revision });
        if (!records.empty())
            callbacks_.onChanges(records);
    };
    prefix = prefix_;
    co_await store_.watch(std::move(prefix), range.revision + Revision(1), std::move(onChanges));
}

} // namespace Ibisturn
