#pragma once

#include <LibDecision/Dissemination/StatusMessages.h>

#include <map>

namespace Ibisturn {

/// Parameters of a StoreFeed.
struct StoreFeedLimits {
    /// How often the store confirms each prefix that an instance follows.
    Duration confirmationPeriod { std::chrono::milliseconds(1000) };
    /// How many prefixes must be confirmed for the copy to be current; numbered from 0.
    std::size_t confirmedPrefixes { 1 };
};

/// Decides whether this instance follows the store itself or learns its changes from other instances, so that the number
/// of calls to the store does not grow with the fleet. The first collector of a region follows the store; the next ones in
/// rank take over one after the other once they hear from nobody who does. An instance that hears from nobody at all, or that stays behind
/// those it hears from, follows the store in any case. One that hears only from instances that are still in an earlier era hears from nobody in this
/// sense: they know nothing of the store's changes since.
/// Thread safety: one thread at a time.
class StoreFeed {
public:
    /// An instance that reaches the store learns of a new era when it next renews its lease, and then lists the store.
    static constexpr Duration ownListingTime = std::chrono::milliseconds(2000);

    explicit StoreFeed(TimePoint start, StoreFeedLimits limits = {});

    /// Sets the period of the instances' reports, each of which is answered with a status.
    void setReportPeriod(Duration period) { reportPeriod_ = period; }

    /// The store confirmed to this instance that it has all changes of a prefix up to `asOf`.
    void onConfirmed(TimePoint asOf, std::size_t prefix);

    /// A call of this instance to follow a prefix failed.
    void onFailed(std::size_t prefix) { ownConfirmations_.erase(prefix); }

    /// Another instance of the region, with the rank `rank`, sent the status of its copy at `sentAt` or later.
    void onStatus(TimePoint now, TimePoint sentAt, const InstanceId& from, std::size_t rank, const StoreFeedStatus& status);

    /// Decides anew. `rank` and `positions` are this instance's own.
    void advance(TimePoint now, std::size_t rank, const std::vector<Revision>& positions);

    /// Whether this instance should follow the store itself.
    bool isFollowing() const { return isFollowing_; }

    /// When the store last confirmed, to any instance, all changes that this instance has; unset if it never has.
    const std::optional<TimePoint>& confirmedAt() const { return confirmedAt_; }

    /// The status to send to others. `positions` are this instance's.
    StoreFeedStatus status(TimePoint now, std::vector<Revision> positions) const;

    /// The instance to request the changes after `positions` from now, if one has later ones. Every instance has time to list the
    /// store itself after it has come back from an older copy, since its full content would be too much for one instance to send to all.
    std::optional<InstanceId> sourceOf(TimePoint now, const std::vector<Revision>& positions);

private:
    struct Peer {
        TimePoint receivedAt;
        TimePoint sentAt;
        std::size_t rank { 0 };
        StoreFeedStatus status;
        /// Since when it has been in the era of its positions.
        TimePoint eraSince {};
    };

    /// Longer than the time between two confirmations as others learn of them.
    Duration maxAge() const;
    /// Without a status for this long, a sender or the link to it has failed.
    Duration silence() const;
    std::optional<TimePoint> ownConfirmation() const;
    bool isConfirmedByStore(TimePoint now) const;
    bool followsBetter(TimePoint now, std::size_t rank) const;
    void takeConfirmations();
    bool staysBehind(TimePoint now, const std::vector<Revision>& positions);

    StoreFeedLimits limits_;
    Duration reportPeriod_ { std::chrono::milliseconds(100) };
    std::map<InstanceId, Peer> peers_;
    /// This instance's own, when it last decided.
    std::vector<Revision> positions_;
    /// When a status last came from an instance that is not in an earlier era than this one.
    TimePoint lastStatusAt_;
    /// When such a status last came from an instance that follows the store.
    TimePoint lastFollowerAt_;
    /// By the prefix's number; none after a failed call.
    std::map<std::size_t, TimePoint> ownConfirmations_;
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> betterSince_;
    /// Positions that another instance had reached at a time when this one had not.
    struct Lead {
        std::vector<Revision> positions;
        TimePoint seenAt;
    };
    std::optional<Lead> lead_;
    TimePoint nextRequestAt_ {};
    bool isFollowing_ { false };
};

} // namespace Ibisturn
