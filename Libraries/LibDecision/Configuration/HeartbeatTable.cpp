#include <LibDecision/Configuration/HeartbeatTable.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr Duration suspicionTimeout = std::chrono::milliseconds(1500);
/// After this long without requests to a peer, its silence is measured from the next request.
constexpr Duration requestGapLimit = std::chrono::milliseconds(2500);
constexpr Duration peerRetention = std::chrono::seconds(60);

} // namespace

HeartbeatTable::HeartbeatTable(Incarnation incarnation)
    : incarnation_(incarnation)
{
}

ControlHeartbeat HeartbeatTable::makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind)
{
    auto& state = peers_[peer];
    if (kind == HeartbeatKind::Request) {
        if (!state.requestingSince || now - state.lastRequestAt > requestGapLimit)
            state.requestingSince = now;
        state.lastRequestAt = now;
    }
    ControlHeartbeat heartbeat;
    heartbeat.kind = kind;
    heartbeat.incarnation = incarnation_;
    heartbeat.sentAt = now;
    heartbeat.echoIncarnation = state.incarnation;
    heartbeat.echo = state.peerTime;
    return heartbeat;
}

bool HeartbeatTable::receive(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat)
{
    auto& state = peers_[from];
    if (heartbeat.incarnation == state.incarnation && heartbeat.sentAt < state.peerTime)
        return false;
    if (heartbeat.incarnation != state.incarnation) {
        state.incarnation = heartbeat.incarnation;
        state.lastConfirmedAt.reset();
        state.currentAsOf.reset();
        state.sentRevision = noRevision;
    }
    state.peerTime = heartbeat.sentAt;
    state.lastReceivedAt = now;
    state.revision = heartbeat.revision;
    state.readiness = heartbeat.readiness;
    if (heartbeat.echoIncarnation != incarnation_ || heartbeat.echo > now)
        return true;
    state.lastConfirmedAt = std::max(state.lastConfirmedAt.value_or(heartbeat.echo), heartbeat.echo);
    // The peer measured the age after the echoed heartbeat was sent, so its sending time minus the age is a lower bound.
    if (heartbeat.storeAge >= Duration::zero()) {
        const auto current = heartbeat.echo - heartbeat.storeAge;
        state.currentAsOf = std::max(state.currentAsOf.value_or(current), current);
    }
    return true;
}

bool HeartbeatTable::isConfirmed(TimePoint now, const InstanceId& peer) const
{
    return isConfirmedSince(now - suspicionTimeout, peer);
}

bool HeartbeatTable::isConfirmedSince(TimePoint since, const InstanceId& peer) const
{
    const auto* state = find(peer);
    return state && state->lastConfirmedAt && *state->lastConfirmedAt >= since;
}

bool HeartbeatTable::isSuspected(TimePoint now, const InstanceId& peer) const
{
    const auto* state = find(peer);
    if (!state || !state->requestingSince || now - state->lastRequestAt > requestGapLimit)
        return false;
    const auto since = std::max(*state->requestingSince, state->lastConfirmedAt.value_or(*state->requestingSince));
    return now - since > suspicionTimeout;
}

const PeerState* HeartbeatTable::find(const InstanceId& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> HeartbeatTable::currentAsOf(Revision revision) const
{
    std::optional<TimePoint> latest;
    for (const auto& [id, state] : peers_) {
        if (state.currentAsOf && state.revision <= revision)
            latest = std::max(latest.value_or(*state.currentAsOf), *state.currentAsOf);
    }
    return latest;
}

void HeartbeatTable::removeSilent(TimePoint now)
{
    std::erase_if(peers_, [now](const auto& entry) {
        const auto& state = entry.second;
        return now - std::max(state.lastReceivedAt, state.lastRequestAt) > peerRetention;
    });
}

} // namespace Ibisturn
