#include <LibDecision/Placement/ColdServerLocks.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr Duration retryDelay = std::chrono::milliseconds(300);
/// A server is rarely cold for longer, so a lock that another instance holds is rarely asked for twice.
constexpr Duration heldByOtherDelay = std::chrono::seconds(2);
constexpr Duration staleAfter = std::chrono::seconds(10);
constexpr std::size_t staleBatch = 16;

} // namespace

void ColdServerLocks::setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion)
{
    self_ = self;
    instances_ = inRegion;
}

void ColdServerLocks::setTerm(const std::optional<LockTerm>& term)
{
    if (!term || !term_ || term->id != term_->id)
        locks_.clear();
    term_ = term;
}

std::vector<BackendServerId> ColdServerLocks::advance(TimePoint now, const std::vector<BackendServerId>& coldServers)
{
    std::vector<BackendServerId> wanted;
    if (!term_ || now >= term_->end || now < noLocksUntil_)
        return wanted;
    for (const auto& server : coldServers) {
        const auto known = locks_.find(server);
        if (known == locks_.end() && !isPreferredFor(server))
            continue;
        auto& lock = locks_[server];
        lock.lastColdAt = now;
        if (lock.revision || lock.isBeingWritten || now < lock.nextAttemptAt)
            continue;
        lock.isBeingWritten = true;
        wanted.push_back(server);
    }
    return wanted;
}

std::vector<StoredLock> ColdServerLocks::takeStale(TimePoint now)
{
    std::vector<BackendServerId> stale;
    for (const auto& [server, lock] : locks_) {
        if (!lock.isBeingWritten && now - lock.lastColdAt > staleAfter)
            stale.push_back(server);
    }
    if (stale.size() < staleBatch)
        return {};
    stale.resize(staleBatch);
    std::vector<StoredLock> held;
    for (const auto& server : stale) {
        const auto& revision = locks_.at(server).revision;
        if (revision)
            held.push_back({ server, *revision });
        locks_.erase(server);
    }
    return held;
}

void ColdServerLocks::onAttempt(TimePoint now, const BackendServerId& server, LockTermId term, const LockAttempt& attempt)
{
    if (!term_ || term_->id != term)
        return;
    auto& lock = locks_[server];
    lock.isBeingWritten = false;
    if (attempt.outcome == LockOutcome::Held)
        lock.revision = attempt.revision;
    lock.nextAttemptAt = now + (attempt.outcome == LockOutcome::HeldByOther ? heldByOtherDelay : retryDelay);
}

std::map<BackendServerId, TimePoint> ColdServerLocks::held() const
{
    std::map<BackendServerId, TimePoint> held;
    for (const auto& [server, lock] : locks_) {
        if (lock.revision)
            held.emplace(server, term_->end);
    }
    return held;
}

// Instances that know different members may both try; the store then decides.
bool ColdServerLocks::isPreferredFor(const BackendServerId& server) const
{
    const auto ownScore = rendezvousScore(server.value(), self_.value());
    return std::none_of(instances_.begin(), instances_.end(), [&](const InstanceId& other) {
        return other != self_ && rendezvousScore(server.value(), other.value()) > ownScore;
    });
}

} // namespace Ibisturn
