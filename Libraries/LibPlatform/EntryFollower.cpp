#include <LibPlatform/EntryFollower.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/Pause.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log followerLog("store");
/// Delay before a failed call to the store is retried; short, since a missed change may have to take effect at once. It
/// doubles with each further failure, since each call to a store that is unavailable costs as much as any other.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(800);
/// Time to decide, after a listing, whether to go on.
constexpr Duration suspensionGrace = std::chrono::milliseconds(150);

/// Ends the watch of a follower that was suspended.
class FollowerSuspended final : public std::exception {
};

} // namespace

EntryFollower::EntryFollower(StoreClient& store, std::string prefix, Duration confirmationPeriod, Callbacks callbacks)
    : store_(store)
    , prefix_(std::move(prefix))
    , confirmationPeriod_(confirmationPeriod)
    , callbacks_(std::move(callbacks))
{
}

Task<void> EntryFollower::run()
{
    resumption_.emplace(co_await Asio::this_coro::executor);
    auto retryDelay = minRetryDelay;
    for (;;) {
        co_await awaitResumption();
        std::string reason;
        try {
            co_await follow();
        } catch (const FollowerSuspended&) {
            continue;
        } catch (const HistoryUnavailable& error) {
            followerLog.info("Listing the store again.", { { "prefix", prefix_ }, { "position", callbacks_.position().value_or(Revision()) }, { "store_era", store_.era() }, { "reason", error.what() } });
            mustList_ = true;
            continue;
        } catch (const std::exception& error) {
            reason = error.what();
        }
        if (!isUnavailable_) {
            followerLog.warning("Store lost.", { { "prefix", prefix_ }, { "reason", reason } });
            retryDelay = minRetryDelay;
        }
        isUnavailable_ = true;
        callbacks_.onFailed();
        co_await pause(retryDelay);
        retryDelay = std::min(retryDelay * 2, maxRetryDelay);
    }
}

void EntryFollower::setSuspended(bool isSuspended)
{
    if (std::exchange(isSuspended_, isSuspended) == isSuspended)
        return;
    followerLog.info(isSuspended ? "Following ends." : "Following begins.", { { "prefix", prefix_ } });
    if (!isSuspended && resumption_)
        resumption_->cancel();
}

Task<void> EntryFollower::awaitResumption()
{
    while (isSuspended_) {
        resumption_->expires_at(Asio::steady_timer::time_point::max());
        boost::system::error_code cancelled;
        co_await resumption_->async_wait(Asio::redirect_error(Asio::use_awaitable, cancelled));
    }
}

Task<void> EntryFollower::follow()
{
    const auto known = callbacks_.position();
    const bool isFirst = mustList_ || !known;
    const auto position = isFirst ? co_await list() : *known;
    // Most instances need only the listing.
    if (isFirst)
        co_await pause(suspensionGrace);
    if (isSuspended_)
        throw FollowerSuspended();
    std::function<void(StoreChanges)> onChanges = [this](const StoreChanges& changes) {
        std::vector<RecordChange> records;
        for (const auto& change : changes.changes)
            records.push_back({ change.key, change.value, change.revision });
        if (!records.empty())
            callbacks_.onChanges(records);
        onAnswer(changes.asOf);
        if (isSuspended_)
            throw FollowerSuspended();
    };
    auto prefix = prefix_;
    co_await store_.watch(std::move(prefix), position, confirmationPeriod_, std::move(onChanges));
}

Task<Revision> EntryFollower::list()
{
    auto prefix = prefix_;
    const auto calledAt = SteadyClock().now();
    const StoreRange range = co_await store_.range(std::move(prefix));
    if (const auto known = callbacks_.position(); known && range.revision.era() < known->era())
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The listing is of an earlier era of the store");
    Listing listing { prefix_, range.revision, {} };
    for (const auto& entry : range.entries)
        listing.entries.push_back({ entry.key, entry.value, entry.revision });
    callbacks_.onListing(listing);
    mustList_ = false;
    onAnswer(calledAt);
    co_return range.revision;
}

void EntryFollower::onAnswer(TimePoint asOf)
{
    if (std::exchange(isUnavailable_, false))
        followerLog.info("Store regained.", { { "prefix", prefix_ }, { "revision", callbacks_.position().value_or(Revision()) } });
    callbacks_.onConfirmed(asOf);
}

} // namespace Ibisturn
