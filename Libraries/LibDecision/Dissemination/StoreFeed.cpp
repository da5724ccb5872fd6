#include <LibDecision/Dissemination/StoreFeed.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// A copy is current if the store confirmed it this recently. Longer than a watch call, the pause after it, and a period of
/// reports together.
constexpr Duration maxAge = std::chrono::milliseconds(2000);
/// Each further instance in rank waits this much longer before it takes over.
constexpr Duration takeOverStep = std::chrono::milliseconds(400);
constexpr Duration silenceTimeout = std::chrono::milliseconds(2500);
constexpr Duration statusTimeout = std::chrono::milliseconds(1200);
/// How long a better placed instance must follow the store before this one stops.
constexpr Duration handBackTime = std::chrono::seconds(1);
constexpr Duration requestSpacing = std::chrono::milliseconds(200);

bool isAhead(const std::vector<Revision>& positions, const std::vector<Revision>& others)
{
    for (std::size_t index = 0; index < positions.size() && index < others.size(); ++index) {
        if (positions[index] > others[index])
            return true;
    }
    return false;
}

} // namespace

StoreFeed::StoreFeed(TimePoint start)
    : start_(start)
    , lastStatusAt_(start)
{
}

void StoreFeed::onConfirmed(TimePoint now)
{
    lastOwnConfirmation_ = now;
    lastConfirmation_ = now;
}

void StoreFeed::onStatus(TimePoint now, const InstanceId& from, std::size_t rank, const StoreFeedStatus& status)
{
    lastStatusAt_ = now;
    peers_[from] = { now, rank, status };
    if (status.age && (!lastConfirmation_ || now - *status.age > *lastConfirmation_))
        lastConfirmation_ = now - *status.age;
}

void StoreFeed::advance(TimePoint now, std::size_t rank)
{
    std::erase_if(peers_, [now](const auto& entry) { return now - entry.second.receivedAt > silenceTimeout; });
    if (rank == 0) {
        isFollowing_ = true;
        return;
    }
    if (!isFollowing_) {
        const auto copyAge = now - lastConfirmation_.value_or(start_);
        isFollowing_ = copyAge > patience(rank) || now - lastStatusAt_ > silenceTimeout;
        return;
    }
    if (!followsBetter(now, rank)) {
        betterSince_.reset();
        return;
    }
    if (!betterSince_)
        betterSince_ = now;
    if (now - *betterSince_ < handBackTime)
        return;
    betterSince_.reset();
    isFollowing_ = false;
}

std::optional<Duration> StoreFeed::age(TimePoint now) const
{
    return lastConfirmation_ ? std::optional(now - *lastConfirmation_) : std::nullopt;
}

bool StoreFeed::isCurrent(TimePoint now) const
{
    return lastConfirmation_ && now - *lastConfirmation_ <= maxAge;
}

StoreFeedStatus StoreFeed::status(TimePoint now, std::vector<Revision> positions) const
{
    return { isConfirmedByStore(now), age(now), std::move(positions) };
}

std::optional<InstanceId> StoreFeed::sourceOf(TimePoint now, const std::vector<Revision>& positions)
{
    if (now < nextRequestAt_ || isConfirmedByStore(now))
        return std::nullopt;
    const InstanceId* best = nullptr;
    const std::vector<Revision>* newest = &positions;
    for (const auto& [id, peer] : peers_) {
        if (now - peer.receivedAt > statusTimeout || !isAhead(peer.status.positions, *newest))
            continue;
        best = &id;
        newest = &peer.status.positions;
    }
    if (!best)
        return std::nullopt;
    nextRequestAt_ = now + requestSpacing;
    return *best;
}

bool StoreFeed::isConfirmedByStore(TimePoint now) const
{
    return isFollowing_ && lastOwnConfirmation_ && now - *lastOwnConfirmation_ <= maxAge;
}

// Whether an instance with a better rank follows the store successfully.
bool StoreFeed::followsBetter(TimePoint now, std::size_t rank) const
{
    return std::any_of(peers_.begin(), peers_.end(), [now, rank](const auto& entry) {
        const auto& peer = entry.second;
        return now - peer.receivedAt <= statusTimeout && peer.rank < rank && peer.status.isFollowing;
    });
}

Duration StoreFeed::patience(std::size_t rank) const
{
    return maxAge + takeOverStep * static_cast<std::int64_t>(rank - 1);
}

} // namespace Ibisturn
