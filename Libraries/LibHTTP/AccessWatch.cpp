#include <LibHTTP/AccessWatch.h>

#include <utility>

namespace Ibisturn {

AccessWatch::AccessWatch(RegionId here)
    : here_(std::move(here))
{
}

void AccessWatch::review(const SnapshotPointer& snapshot)
{
    if (!snapshot || snapshot == reviewed_)
        return;
    reviewed_ = snapshot;
    for (const auto& [id, watched] : watched_) {
        const auto access = decideAccess(*snapshot, here_, watched.access);
        if (access != ResultCode::Ok)
            watched.cancellation->cancel(AccessReviewed { access });
    }
}

AccessWatch::Subscription::Subscription(AccessWatch& watch, RequestAccess access, CancellationPointer cancellation)
    : watch_(watch)
    , id_(watch.lastId_ += SubscriptionId(1))
{
    watch_.watched_.emplace(id_, Watched { std::move(access), std::move(cancellation) });
}

AccessWatch::Subscription::~Subscription()
{
    watch_.watched_.erase(id_);
}

} // namespace Ibisturn
