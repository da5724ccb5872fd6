#include <LibHTTP/Requests/AccessWatch.h>

#include <utility>

namespace Ibisturn {

void AccessWatch::review(const SnapshotPointer& snapshot)
{
    if (!snapshot || snapshot == reviewed_)
        return;
    reviewed_ = snapshot;
    for (const auto& [id, watched] : *watched_) {
        if (!watched.access)
            continue;
        const auto access = decideAccess(*snapshot, watched.region, *watched.access);
        if (access != ResultCode::Ok)
            watched.cancellation->cancel(AccessReviewed { access });
    }
}

void AccessWatch::cancelAll(ResultCode code)
{
    for (const auto& [id, watched] : *watched_)
        watched.cancellation->cancel(AccessReviewed { code });
}

AccessWatch::Subscription::Subscription(AccessWatch& watch, std::optional<RequestAccess> access, RegionId region, CancellationPointer cancellation)
    : watched_(watch.watched_)
    , id_(watch.lastId_ += SubscriptionId(1))
{
    watched_->emplace(id_, Watched { std::move(access), std::move(region), std::move(cancellation) });
}

AccessWatch::Subscription::~Subscription()
{
    watched_->erase(id_);
}

} // namespace Ibisturn
