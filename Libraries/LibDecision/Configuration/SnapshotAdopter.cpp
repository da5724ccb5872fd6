#include <LibDecision/Configuration/SnapshotAdopter.h>

#include <LibConfiguration/RecordHead.h>
#include <LibDecision/Configuration/WatcherElection.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::size_t watchersPerDataCentre = 2;
/// Additional instances that watch the store when none of the regular watchers can reach it.
constexpr std::size_t fallbackWatchers = 2;
constexpr std::size_t remoteSources = 2;
constexpr std::size_t maxLoggedChanges = 1000;
constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration remoteProbeInterval = std::chrono::seconds(1);
/// The store counts as reachable while its last answer is at most this old.
constexpr Duration storeFreshness = std::chrono::milliseconds(1600);
/// A watcher that has not reached the store for this long is considered unhealthy.
constexpr Duration watcherHealthTimeout = std::chrono::milliseconds(2500);
constexpr Duration pauseLimit = std::chrono::seconds(2);
/// How long to wait for silent peers; by then a configuration in force has reached every reachable instance.
constexpr Duration silentPeerTimeout = std::chrono::seconds(3);
constexpr Duration recheckTimeout = std::chrono::seconds(2);
constexpr Duration withdrawalWriteInterval = std::chrono::seconds(1);
constexpr Duration resendInterval = std::chrono::milliseconds(400);

void addUnique(std::vector<InstanceId>& list, const InstanceId& instance)
{
    if (std::find(list.begin(), list.end(), instance) == list.end())
        list.push_back(instance);
}

// Whether each transaction names its predecessor, which shows that none was skipped.
bool isContiguous(Revision revision, const std::string& headKey, const std::vector<RecordChange>& changes)
{
    for (const auto& change : changes) {
        if (change.key != headKey || change.revision <= revision || !change.value)
            continue;
        const auto head = parseRecordHead(*change.value);
        if (!head || head->previous > revision)
            return false;
        revision = change.revision;
    }
    return true;
}

Revision latestRevision(const std::vector<RecordChange>& changes)
{
    Revision revision(0);
    for (const auto& change : changes)
        revision = std::max(revision, change.revision);
    return revision;
}

} // namespace

SnapshotAdopter::SnapshotAdopter(InstanceIdentity self, std::string prefix, Incarnation incarnation, TimePoint startedAt)
    : self_(std::move(self))
    , headKey_(recordHeadKey(prefix))
    , log_(std::move(prefix), maxLoggedChanges)
    , heartbeats_(incarnation)
    , uncertainSince_(startedAt)
    , nextHeartbeats_(startedAt)
{
}

void SnapshotAdopter::setInstances(std::vector<Member> instances)
{
    instances_ = std::move(instances);
}

AdopterActions SnapshotAdopter::tick(TimePoint now)
{
    detectPause(now);
    lastTick_ = now;
    const auto elected = watchers(now);
    isWatcher_ = std::find(elected.begin(), elected.end(), self_.instance) != elected.end();
    const auto idle = readiness_ == Readiness::Ready ? StoreInterest::None : StoreInterest::Read;
    follower_.setInterest(isWatcher_ ? StoreInterest::Watch : idle);
    AdopterActions actions;
    actions.store = follower_.tick(now);
    if (now >= nextHeartbeats_) {
        nextHeartbeats_ = now + heartbeatInterval;
        for (const auto& peer : heartbeatTargets(now))
            actions.peers.emplace_back(makeHeartbeat(now, peer, HeartbeatKind::Request));
        heartbeats_.removeSilent(now);
    }
    writeWithdrawals(now, actions);
    updateReadiness(now);
    return actions;
}

// Messages that waited in buffers while the process was frozen are outdated, so a pause is detected before any event is
// processed.
void SnapshotAdopter::detectPause(TimePoint now)
{
    if (!lastTick_ || now - *lastTick_ <= pauseLimit)
        return;
    if (readiness_ != Readiness::Starting)
        readiness_ = Readiness::Rechecking;
    lastTick_ = now;
    uncertainSince_ = now;
    nextHeartbeats_ = now;
    follower_.requireRead();
}

AdopterActions SnapshotAdopter::onRead(TimePoint now, StoreCallId call, StoreRecords records)
{
    detectPause(now);
    // A store that was restored from an older state must not be treated as up to date.
    if (latestRevision(records.records) < log_.revision()) {
        follower_.onFailed(now, call);
        return {};
    }
    if (!follower_.onRead(call, records.position))
        return {};
    ConfigurationUpdate update { UpdateKind::Full, noRevision, latestRevision(records.records), {} };
    std::erase_if(records.records, [this](const auto& change) { return change.key == headKey_; });
    update.changes = std::move(records.records);
    auto actions = adopt(now, update);
    updateReadiness(now);
    return actions;
}

AdopterActions SnapshotAdopter::onHead(TimePoint now, StoreCallId call, Revision head)
{
    detectPause(now);
    follower_.onHead(now, call, head, log_.revision());
    return {};
}

AdopterActions SnapshotAdopter::onWatched(TimePoint now, StoreCallId call, Revision position, const std::vector<RecordChange>& changes)
{
    if (!follower_.onWatched(call, position) || changes.empty())
        return {};
    if (!isContiguous(log_.revision(), headKey_, changes)) {
        follower_.requireRead();
        return {};
    }
    ConfigurationUpdate update { UpdateKind::Delta, log_.revision(), latestRevision(changes), {} };
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(update.changes), [this](const auto& change) { return change.key != headKey_; });
    return adopt(now, update);
}

void SnapshotAdopter::onStoreFailed(TimePoint now, StoreCallId call)
{
    follower_.onFailed(now, call);
}

AdopterActions SnapshotAdopter::onHeartbeat(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat)
{
    detectPause(now);
    AdopterActions actions;
    if (!heartbeats_.receive(now, from, heartbeat))
        return actions;
    if (heartbeat.kind == HeartbeatKind::Request)
        actions.peers.emplace_back(makeHeartbeat(now, from, HeartbeatKind::Reply));
    bool isNew = false;
    for (const auto& withdrawal : heartbeat.withdrawals)
        isNew = withdrawals_.add(withdrawal, log_) || isNew;
    if (isNew)
        propagateWithdrawals(now, actions);
    if (heartbeat.revision < log_.revision())
        offerUpdate(now, from, heartbeat.updateRequest, actions);
    updateReadiness(now);
    return actions;
}

AdopterActions SnapshotAdopter::onUpdate(TimePoint now, const ConfigurationUpdate& update)
{
    detectPause(now);
    auto actions = adopt(now, update);
    updateReadiness(now);
    return actions;
}

AdopterActions SnapshotAdopter::withdraw(TimePoint now, const EmergencyWithdrawal& withdrawal)
{
    AdopterActions actions;
    if (withdrawals_.add(withdrawal, log_))
        propagateWithdrawals(now, actions);
    return actions;
}

// Notifies the instances of this data centre and one instance of each other data centre; those that did not know the
// withdrawal do the same.
void SnapshotAdopter::propagateWithdrawals(TimePoint now, AdopterActions& actions)
{
    auto targets = dataCentrePeers();
    std::set<DataCentreId> notified { self_.dataCentre };
    for (const auto& member : instances_) {
        if (member.state == MemberState::Live && notified.insert(member.dataCentre).second)
            targets.push_back(member.id);
    }
    for (const auto& peer : targets)
        actions.peers.emplace_back(makeHeartbeat(now, peer, HeartbeatKind::Request));
}

void SnapshotAdopter::writeWithdrawals(TimePoint now, AdopterActions& actions)
{
    if (!isWatcher_ || !isStoreFresh(now) || now < nextWithdrawalWrite_)
        return;
    nextWithdrawalWrite_ = now + withdrawalWriteInterval;
    actions.withdrawals = withdrawals_.all();
}

AdopterActions SnapshotAdopter::leave(TimePoint now)
{
    state_ = MemberState::Leaving;
    AdopterActions actions;
    for (const auto& member : instances_) {
        if (member.id != self_.instance)
            actions.peers.emplace_back(makeHeartbeat(now, member.id, HeartbeatKind::Request));
    }
    return actions;
}

std::optional<Duration> SnapshotAdopter::storeAge(TimePoint now) const
{
    const auto current = currentAsOf();
    if (!current)
        return std::nullopt;
    return now - *current;
}

std::optional<TimePoint> SnapshotAdopter::currentAsOf() const
{
    const auto own = follower_.currentAsOf();
    const auto peers = heartbeats_.currentAsOf(log_.revision());
    if (!own || !peers)
        return own ? own : peers;
    return std::max(*own, *peers);
}

bool SnapshotAdopter::isStoreFresh(TimePoint now) const
{
    const auto current = follower_.currentAsOf();
    return current && now - *current <= storeFreshness;
}

std::vector<InstanceId> SnapshotAdopter::dataCentrePeers() const
{
    std::set<InstanceId> found;
    for (const auto& member : instances_) {
        if (member.dataCentre == self_.dataCentre && member.state != MemberState::Leaving && member.id != self_.instance)
            found.insert(member.id);
    }
    return { found.begin(), found.end() };
}

bool SnapshotAdopter::isHealthyWatcher(TimePoint now, const InstanceId& instance) const
{
    const auto since = now - watcherHealthTimeout;
    if (instance == self_.instance)
        return follower_.currentAsOf().value_or(uncertainSince_) >= since;
    const auto* state = heartbeats_.find(instance);
    if (!state || !state->requestingSince || *state->requestingSince >= since)
        return true;
    return state->currentAsOf && *state->currentAsOf >= since;
}

// The highest-ranked instances that are not suspected; if none of them reaches the store, the next in rank watch as well.
std::vector<InstanceId> SnapshotAdopter::watchers(TimePoint now) const
{
    auto candidates = dataCentrePeers();
    std::erase_if(candidates, [this, now](const auto& id) { return heartbeats_.isSuspected(now, id); });
    candidates.push_back(self_.instance);
    auto ranked = rankWatchers(self_.dataCentre, std::move(candidates));
    const auto regularCount = std::min(ranked.size(), watchersPerDataCentre);
    const auto isAnyHealthy = std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(regularCount), [this, now](const auto& id) { return isHealthyWatcher(now, id); });
    const auto watcherCount = isAnyHealthy ? regularCount : regularCount + fallbackWatchers;
    ranked.resize(std::min(ranked.size(), watcherCount));
    return ranked;
}

std::vector<InstanceId> SnapshotAdopter::heartbeatTargets(TimePoint now)
{
    std::vector<InstanceId> targets;
    if (readiness_ != Readiness::Ready) {
        targets = dataCentrePeers();
    } else {
        targets = watchers(now);
        std::erase(targets, self_.instance);
        addSuspectedWatchers(now, targets);
    }
    if (isWatcher_ && !isStoreFresh(now))
        addRemoteSources(now, targets);
    return targets;
}

// Keeps sending heartbeats to suspected watchers, so that the suspicion ends once they answer.
void SnapshotAdopter::addSuspectedWatchers(TimePoint now, std::vector<InstanceId>& targets)
{
    auto everyone = dataCentrePeers();
    everyone.push_back(self_.instance);
    const auto ranked = rankWatchers(self_.dataCentre, std::move(everyone));
    const auto regularCount = std::min(ranked.size(), watchersPerDataCentre);
    for (std::size_t index = 0; index < regularCount; ++index) {
        if (ranked[index] != self_.instance && heartbeats_.isSuspected(now, ranked[index]))
            addUnique(targets, ranked[index]);
    }
}

// While the store is unreachable, other data centres may still receive withdrawals. Sends heartbeats to one instance of each
// data centre; once some of these are known to reach the store, only to them.
void SnapshotAdopter::addRemoteSources(TimePoint now, std::vector<InstanceId>& targets)
{
    std::map<DataCentreId, std::vector<InstanceId>> remote;
    std::size_t sources = 0;
    for (const auto& member : instances_) {
        if (member.dataCentre == self_.dataCentre || member.state == MemberState::Leaving)
            continue;
        remote[member.dataCentre].push_back(member.id);
        const auto* state = heartbeats_.find(member.id);
        const bool isSource = state && state->currentAsOf && *state->currentAsOf >= now - watcherHealthTimeout && heartbeats_.isConfirmed(now, member.id);
        if (isSource && sources < remoteSources) {
            addUnique(targets, member.id);
            ++sources;
        }
    }
    if (sources > 0 || now < nextRemoteProbe_)
        return;
    nextRemoteProbe_ = now + remoteProbeInterval;
    for (const auto& [dataCentre, members] : remote)
        addUnique(targets, members[remoteProbes_ % members.size()]);
    ++remoteProbes_;
}

void SnapshotAdopter::updateReadiness(TimePoint now)
{
    if (readiness_ == Readiness::Ready || log_.revision() == noRevision)
        return;
    const bool hasWaitExpired = readiness_ == Readiness::Rechecking && now - uncertainSince_ >= recheckTimeout;
    if (hasWaitExpired || canServe(now, uncertainSince_))
        readiness_ = Readiness::Ready;
}

// The instance may serve once its records cannot be older than the configuration in force: the store answered, a peer that
// reaches the store answered, or all peers of the data centre did. The wait for silent peers is limited to the time in which
// a configuration in force reaches every reachable instance.
bool SnapshotAdopter::canServe(TimePoint now, TimePoint since) const
{
    const auto current = currentAsOf();
    if (current && *current >= since)
        return true;
    bool hasReadyPeer = false;
    bool hasSilentPeer = false;
    for (const auto& peer : dataCentrePeers()) {
        const auto* state = heartbeats_.find(peer);
        if (!heartbeats_.isConfirmedSince(since, peer)) {
            hasSilentPeer = true;
            continue;
        }
        if (state->readiness != Readiness::Ready)
            continue;
        if (state->revision > log_.revision())
            return false;
        hasReadyPeer = true;
    }
    return hasReadyPeer && (!hasSilentPeer || now - since >= silentPeerTimeout);
}

SendHeartbeat SnapshotAdopter::makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind)
{
    auto heartbeat = heartbeats_.makeHeartbeat(now, peer, kind);
    heartbeat.revision = log_.revision();
    heartbeat.storeAge = storeAge(now).value_or(Duration(-1));
    heartbeat.readiness = readiness_;
    heartbeat.state = state_;
    heartbeat.withdrawals = withdrawals_.all();
    const auto* state = heartbeats_.find(peer);
    const bool isNewestPeer = state->revision > log_.revision()
        && std::none_of(heartbeats_.peers().begin(), heartbeats_.peers().end(), [&](const auto& other) { return other.second.revision > state->revision && heartbeats_.isConfirmed(now, other.first); });
    heartbeat.updateRequest = isNewestPeer ? UpdateRequest::Full : UpdateRequest::Delta;
    return { peer, heartbeat };
}

void SnapshotAdopter::offerUpdate(TimePoint now, const InstanceId& peer, UpdateRequest request, AdopterActions& actions)
{
    auto& state = heartbeats_.peers().at(peer);
    if (state.sentRevision == log_.revision() && now - state.sentAt < resendInterval)
        return;
    if (request == UpdateRequest::Delta && !log_.hasChangesAfter(state.revision))
        return;
    state.sentRevision = log_.revision();
    state.sentAt = now;
    actions.peers.emplace_back(SendUpdate { peer, log_.updateFrom(state.revision) });
}

// Sends the update immediately to every peer that sent a heartbeat recently.
void SnapshotAdopter::notifyPeers(TimePoint now, AdopterActions& actions)
{
    for (const auto& [peer, state] : heartbeats_.peers()) {
        if (now - state.lastReceivedAt <= watcherHealthTimeout && state.revision < log_.revision())
            offerUpdate(now, peer, UpdateRequest::Delta, actions);
    }
}

AdopterActions SnapshotAdopter::adopt(TimePoint now, const ConfigurationUpdate& update)
{
    AdopterActions actions;
    const auto adoption = log_.adopt(update);
    if (adoption == Adoption::Adopted) {
        withdrawals_.settle(log_);
        notifyPeers(now, actions);
    }
    return actions;
}

} // namespace Ibisturn
