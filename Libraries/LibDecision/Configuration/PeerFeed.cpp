#include <LibDecision/Configuration/PeerFeed.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr Duration suspicionAfter = std::chrono::milliseconds(1500);
/// After this long without requests to a peer, its silence is measured from the next request.
constexpr Duration askingPause = std::chrono::milliseconds(2500);
constexpr Duration silenceBeforeForgetting = std::chrono::seconds(60);

} // namespace

PeerFeed::PeerFeed(Incarnation incarnation)
    : incarnation_(incarnation)
{
}

ControlHeartbeat PeerFeed::makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind)
{
    auto& state = peers_[peer];
    if (kind == HeartbeatKind::Request) {
        if (!state.askedSince || now - state.lastAsked > askingPause)
            state.askedSince = now;
        state.lastAsked = now;
    }
    ControlHeartbeat heartbeat;
    heartbeat.kind = kind;
    heartbeat.incarnation = incarnation_;
    heartbeat.sentAt = now;
    heartbeat.echoIncarnation = state.incarnation;
    heartbeat.echo = state.theirTime;
    return heartbeat;
}

bool PeerFeed::receive(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat)
{
    auto& state = peers_[from];
    if (heartbeat.incarnation == state.incarnation && heartbeat.sentAt < state.theirTime)
        return false;
    if (heartbeat.incarnation != state.incarnation) {
        state.incarnation = heartbeat.incarnation;
        state.confirmed.reset();
        state.currentAsOf.reset();
        state.sentRevision = noRevision;
    }
    state.theirTime = heartbeat.sentAt;
    state.lastHeard = now;
    state.revision = heartbeat.revision;
    state.readiness = heartbeat.readiness;
    if (heartbeat.echoIncarnation != incarnation_ || heartbeat.echo > now)
        return true;
    state.confirmed = std::max(state.confirmed.value_or(heartbeat.echo), heartbeat.echo);
    // The peer computed its age after the echoed heartbeat was sent, so subtracting it from that time is a safe lower bound.
    if (heartbeat.storeAge >= Duration::zero()) {
        const auto current = heartbeat.echo - heartbeat.storeAge;
        state.currentAsOf = std::max(state.currentAsOf.value_or(current), current);
    }
    return true;
}

bool PeerFeed::isConfirmed(TimePoint now, const InstanceId& peer) const
{
    return isConfirmedSince(now - suspicionAfter, peer);
}

bool PeerFeed::isConfirmedSince(TimePoint since, const InstanceId& peer) const
{
    const auto* state = find(peer);
    return state && state->confirmed && *state->confirmed >= since;
}

bool PeerFeed::isSuspected(TimePoint now, const InstanceId& peer) const
{
    const auto* state = find(peer);
    if (!state || !state->askedSince || now - state->lastAsked > askingPause)
        return false;
    const auto since = std::max(*state->askedSince, state->confirmed.value_or(*state->askedSince));
    return now - since > suspicionAfter;
}

const PeerState* PeerFeed::find(const InstanceId& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> PeerFeed::currentAsOf(Revision revision) const
{
    std::optional<TimePoint> latest;
    for (const auto& [id, state] : peers_) {
        if (state.currentAsOf && state.revision <= revision)
            latest = std::max(latest.value_or(*state.currentAsOf), *state.currentAsOf);
    }
    return latest;
}

void PeerFeed::forgetSilent(TimePoint now)
{
    std::erase_if(peers_, [now](const auto& entry) {
        const auto& state = entry.second;
        return now - std::max(state.lastHeard, state.lastAsked) > silenceBeforeForgetting;
    });
}

} // namespace Ibisturn
