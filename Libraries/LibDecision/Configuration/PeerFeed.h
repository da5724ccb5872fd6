#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// What an instance knows of one peer by heartbeats alone.
struct PeerState {
    /// The sending time of the latest heartbeat that the peer has answered. Only a round trip counts: a heartbeat
    /// that waited in a buffer while this instance, or the peer, was frozen proves nothing about now.
    std::optional<TimePoint> confirmed;
    /// Since when the peer has been asked without a pause.
    std::optional<TimePoint> askedSince;
    TimePoint lastAsked {};
    TimePoint lastHeard {};
    Incarnation incarnation;
    TimePoint theirTime {};
    Revision revision { noRevision };
    Readiness readiness { Readiness::Starting };
    /// The peer's records at `revision` were the store's at this time of this instance's own time line, or later.
    std::optional<TimePoint> currentAsOf;
    Revision sentRevision { noRevision };
    TimePoint sentAt {};
};

/// Keeps what heartbeats show of peers. Thread safety: one thread at a time.
class PeerFeed {
public:
    /// `incarnation` differs in each start of the instance, so that echoes of an earlier one are not believed.
    explicit PeerFeed(Incarnation incarnation);

    /// The heartbeat for `peer`, which is noted as asked.
    ControlHeartbeat makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind);

    /// Takes in a heartbeat; false if it is older than one that came before.
    bool receive(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat);

    /// Whether a round trip to the peer was seen lately.
    bool isConfirmed(TimePoint now, const InstanceId& peer) const;

    /// Whether a round trip to the peer began at or after `since`.
    bool isConfirmedSince(TimePoint since, const InstanceId& peer) const;

    /// Whether the peer has been asked for long enough and has not answered. A peer that nobody asks is not suspected,
    /// and suspicion is never passed on: each instance trusts its own round trips.
    bool isSuspected(TimePoint now, const InstanceId& peer) const;

    /// What is known of the peer, or null.
    const PeerState* find(const InstanceId& peer) const;

    /// What is known of each peer.
    std::map<InstanceId, PeerState>& peers() { return peers_; }
    const std::map<InstanceId, PeerState>& peers() const { return peers_; }

    /// The latest time at which records at `revision` were the store's, as far as peers tell.
    std::optional<TimePoint> currentAsOf(Revision revision) const;

    /// Forgets peers that were silent for long.
    void forgetSilent(TimePoint now);

private:
    Incarnation incarnation_;
    std::map<InstanceId, PeerState> peers_;
};

} // namespace Ibisturn
