#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// State of one peer as known from heartbeats.
struct PeerState {
    /// Sending time of the latest heartbeat that the peer has answered. Only a round trip counts: a heartbeat that waited
    /// in a buffer while this instance or the peer was frozen is no evidence of the current state.
    std::optional<TimePoint> lastConfirmedAt;
    /// Start of the current uninterrupted series of heartbeat requests to the peer.
    std::optional<TimePoint> requestingSince;
    TimePoint lastRequestAt {};
    TimePoint lastReceivedAt {};
    Incarnation incarnation;
    TimePoint peerTime {};
    Revision revision { noRevision };
    Readiness readiness { Readiness::Starting };
    /// The peer's records at `revision` matched the store at this time or later, on this instance's clock.
    std::optional<TimePoint> currentAsOf;
    Revision sentRevision { noRevision };
    TimePoint sentAt {};
};

/// Tracks peers by their heartbeats. Thread safety: one thread at a time.
class HeartbeatTable {
public:
    /// `incarnation` differs for each start of the instance, so that echoes sent to an earlier incarnation are ignored.
    explicit HeartbeatTable(Incarnation incarnation);

    /// Builds the heartbeat for `peer` and records a request as sent.
    ControlHeartbeat makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind);

    /// Processes a heartbeat; returns false if it is older than one received before.
    bool receive(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat);

    /// Whether a round trip to the peer was completed recently.
    bool isConfirmed(TimePoint now, const InstanceId& peer) const;

    /// Whether a round trip to the peer began at or after `since`.
    bool isConfirmedSince(TimePoint since, const InstanceId& peer) const;

    /// Whether the peer has not answered requests for longer than the suspicion timeout. A peer that receives no requests is
    /// not suspected, and suspicion is not shared between instances: each one relies on its own round trips.
    bool isSuspected(TimePoint now, const InstanceId& peer) const;

    /// The state of the peer, or null if it is unknown.
    const PeerState* find(const InstanceId& peer) const;

    /// The state of each peer.
    std::map<InstanceId, PeerState>& peers() { return peers_; }
    const std::map<InstanceId, PeerState>& peers() const { return peers_; }

    /// The latest time at which records at `revision` are known to have matched the store, according to peers.
    std::optional<TimePoint> currentAsOf(Revision revision) const;

    /// Removes peers without recent heartbeats in either direction.
    void removeSilent(TimePoint now);

private:
    Incarnation incarnation_;
    std::map<InstanceId, PeerState> peers_;
};

} // namespace Ibisturn
