#pragma once

#include <LibDecision/Dissemination/StatusMessages.h>

#include <map>

namespace Ibisturn {

/// Decides whether this instance follows the store itself or learns its changes from other instances, so that the number
/// of calls to the store does not grow with the fleet. The first collector of a region follows the store; the next ones in
/// rank take over one after the other if no copy in the region is current, and an instance that hears from nobody follows
/// the store in any case.
/// Thread safety: one thread at a time.
class StoreFeed {
public:
    explicit StoreFeed(TimePoint start);

    /// The store confirmed to this instance that its copy is current.
    void onConfirmed(TimePoint now);

    /// Another instance of the region, with the rank `rank`, sent the status of its copy.
    void onStatus(TimePoint now, const InstanceId& from, std::size_t rank, const StoreFeedStatus& status);

    /// Decides anew. `rank` is this instance's own.
    void advance(TimePoint now, std::size_t rank);

    /// Whether this instance should follow the store itself.
    bool isFollowing() const { return isFollowing_; }

    /// Time since the store confirmed, to any instance, the copy that this one has or can get; unset if it never has.
    std::optional<Duration> age(TimePoint now) const;

    /// Whether `age` is short enough to rely on the copy.
    bool isCurrent(TimePoint now) const;

    /// The status to send to others. `positions` are this instance's.
    StoreFeedStatus status(TimePoint now, std::vector<Revision> positions) const;

    /// The instance to request the changes after `positions` from now, if one has later ones.
    std::optional<InstanceId> sourceOf(TimePoint now, const std::vector<Revision>& positions);

private:
    struct Peer {
        TimePoint receivedAt;
        std::size_t rank { 0 };
        StoreFeedStatus status;
    };

    bool isConfirmedByStore(TimePoint now) const;
    bool followsBetter(TimePoint now, std::size_t rank) const;
    Duration patience(std::size_t rank) const;

    std::map<InstanceId, Peer> peers_;
    TimePoint start_;
    TimePoint lastStatusAt_;
    std::optional<TimePoint> lastOwnConfirmation_;
    std::optional<TimePoint> lastConfirmation_;
    std::optional<TimePoint> betterSince_;
    TimePoint nextRequestAt_ {};
    bool isFollowing_ { false };
};

} // namespace Ibisturn
