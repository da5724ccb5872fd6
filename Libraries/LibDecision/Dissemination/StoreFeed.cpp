#include <LibDecision/Dissemination/StoreFeed.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// The time that a confirmation needs to reach the other instances: round trips to the store, and a period of reports.
constexpr Duration confirmationDelay = std::chrono::milliseconds(1000);
constexpr Duration minSilence = std::chrono::milliseconds(600);
constexpr std::int64_t silentPeriods = 3;
/// A follower that reports that its calls fail has usually reached the store again within this time.
constexpr Duration recoveryTime = std::chrono::milliseconds(300);
/// The others hear of a new process, and it of them, only once its entry in the store has reached them.
constexpr Duration startGrace = std::chrono::milliseconds(1900);
/// Each further instance in rank waits this much longer before it takes over.
constexpr Duration takeOverStep = std::chrono::milliseconds(400);
/// How long a better placed instance must follow the store before this one stops.
constexpr Duration handBackTime = std::chrono::seconds(1);
constexpr Duration requestSpacing = std::chrono::milliseconds(200);
/// The others' changes usually arrive within a few periods of reports. A large change may be more than an instance with a slow link can
/// send to all others of its region in time.
constexpr Duration maxLag = std::chrono::milliseconds(1000);

bool isAhead(const std::vector<Revision>& positions, const std::vector<Revision>& others)
{
    for (std::size_t index = 0; index < positions.size() && index < others.size(); ++index) {
        if (positions[index] > others[index])
            return true;
    }
    return false;
}

/// Whether the sender of `positions` may lack what the store said in the era of `others`. An instance of a version that knows no eras
/// sends positions of era zero.
bool isOfEarlierEra(const std::vector<Revision>& positions, const std::vector<Revision>& others)
{
    for (std::size_t index = 0; index < others.size(); ++index) {
        const auto era = index < positions.size() ? positions[index].era() : StoreEra();
        if (era < others[index].era())
            return true;
    }
    return false;
}

StoreEra newestEra(const std::vector<Revision>& positions)
{
    const auto newest = std::max_element(positions.begin(), positions.end());
    return newest == positions.end() ? StoreEra() : newest->era();
}

} // namespace

StoreFeed::StoreFeed(TimePoint start, StoreFeedLimits limits)
    : limits_(limits)
    , lastStatusAt_(start + startGrace)
    , lastFollowerAt_(start + startGrace)
{
}

void StoreFeed::onConfirmed(TimePoint asOf, std::size_t prefix)
{
    auto& confirmation = ownConfirmations_[prefix];
    confirmation = std::max(confirmation, asOf);
    confirmedAt_ = std::max(confirmedAt_, ownConfirmation());
}

void StoreFeed::onStatus(TimePoint now, TimePoint sentAt, const InstanceId& from, std::size_t rank, const StoreFeedStatus& status)
{
    auto& peer = peers_[from];
    const bool isCounted = !isOfEarlierEra(status.positions, positions_);
    if (isCounted)
        lastStatusAt_ = std::max(lastStatusAt_, now);
    if (isCounted && status.isFollowing)
        lastFollowerAt_ = std::max(lastFollowerAt_, now);
    else if (isCounted && peer.status.isFollowing)
        lastFollowerAt_ = std::min(lastFollowerAt_, now - silence() + recoveryTime);
    const auto isSameEra = peer.receivedAt != TimePoint() && newestEra(peer.status.positions) == newestEra(status.positions);
    peer = { now, sentAt, rank, status, isSameEra ? peer.eraSince : now };
}

void StoreFeed::advance(TimePoint now, std::size_t rank, const std::vector<Revision>& positions)
{
    std::erase_if(peers_, [this, now](const auto& entry) { return now - entry.second.receivedAt > silence(); });
    positions_ = positions;
    takeConfirmations();
    if (rank == 0) {
        isFollowing_ = true;
        return;
    }
    const bool isLate = staysBehind(now, positions);
    if (!isFollowing_) {
        const auto lastSign = std::min(lastFollowerAt_ + silence(), confirmedAt_.value_or(lastFollowerAt_) + maxAge());
        const bool isTurn = now > lastSign + takeOverStep * static_cast<std::int64_t>(rank - 1);
        isFollowing_ = isTurn || isLate || now - lastStatusAt_ > silence();
        return;
    }
    if (isLate || !followsBetter(now, rank)) {
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

StoreFeedStatus StoreFeed::status(TimePoint now, std::vector<Revision> positions) const
{
    const auto age = confirmedAt_ ? std::optional(now - *confirmedAt_) : std::nullopt;
    return { isConfirmedByStore(now), age, std::move(positions) };
}

std::optional<InstanceId> StoreFeed::sourceOf(TimePoint now, const std::vector<Revision>& positions)
{
    if (now < nextRequestAt_ || isConfirmedByStore(now))
        return std::nullopt;
    const InstanceId* best = nullptr;
    const std::vector<Revision>* newest = &positions;
    for (const auto& [id, peer] : peers_) {
        if (now - peer.receivedAt > silence() || !isAhead(peer.status.positions, *newest))
            continue;
        if (newestEra(peer.status.positions) > newestEra(positions) && now - peer.eraSince < ownListingTime)
            continue;
        best = &id;
        newest = &peer.status.positions;
    }
    if (!best)
        return std::nullopt;
    nextRequestAt_ = now + requestSpacing;
    return *best;
}

// Whether this instance has not reached positions that another one had reached some time ago.
bool StoreFeed::staysBehind(TimePoint now, const std::vector<Revision>& positions)
{
    if (lead_ && !isAhead(lead_->positions, positions))
        lead_.reset();
    for (const auto& [id, peer] : peers_) {
        if (!lead_ && isAhead(peer.status.positions, positions))
            lead_ = Lead { peer.status.positions, now };
    }
    return lead_ && now - lead_->seenAt > maxLag;
}

Duration StoreFeed::maxAge() const
{
    return limits_.confirmationPeriod + confirmationDelay;
}

Duration StoreFeed::silence() const
{
    return std::max<Duration>(minSilence, reportPeriod_ * silentPeriods);
}

std::optional<TimePoint> StoreFeed::ownConfirmation() const
{
    if (ownConfirmations_.size() < limits_.confirmedPrefixes)
        return std::nullopt;
    const auto isEarlier = [](const auto& left, const auto& right) { return left.second < right.second; };
    return std::min_element(ownConfirmations_.begin(), ownConfirmations_.end(), isEarlier)->second;
}

bool StoreFeed::isConfirmedByStore(TimePoint now) const
{
    const auto confirmation = ownConfirmation();
    return isFollowing_ && confirmation && now - *confirmation <= maxAge();
}

// Whether an instance with a better rank follows the store successfully.
bool StoreFeed::followsBetter(TimePoint now, std::size_t rank) const
{
    return std::any_of(peers_.begin(), peers_.end(), [this, now, rank](const auto& entry) {
        const auto& peer = entry.second;
        return now - peer.receivedAt <= silence() && peer.rank < rank && peer.status.isFollowing && !isOfEarlierEra(peer.status.positions, positions_);
    });
}

// What the store confirmed to another instance holds for this one's copy once it has all that the other one has, unless it was about an
// earlier copy of the store.
void StoreFeed::takeConfirmations()
{
    for (const auto& [id, peer] : peers_) {
        if (peer.status.age && !isAhead(peer.status.positions, positions_) && !isOfEarlierEra(peer.status.positions, positions_))
            confirmedAt_ = std::max(confirmedAt_, std::optional(peer.sentAt - *peer.status.age));
    }
}

} // namespace Ibisturn
