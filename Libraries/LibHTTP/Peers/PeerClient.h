#pragma once

#include <LibDecision/Membership/MembershipView.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>
#include <LibPeer/PeerConnection.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Ibisturn {

/// The connection to a peer failed. An error that the peer itself reports for a request is a plain Error.
class PeerConnectionError final : public Error {
public:
    using Error::Error;
};

/// Forwards requests to other instances and relays their answers. It never repeats a request.
/// Thread safety: the worker that owns it.
class PeerClient {
public:
    struct Limits {
        Duration connectTimeout;
        Duration silenceTimeout;
        ByteCount frame;
    };

    /// Called with the region of an instance and the round-trip time measured to it.
    using RoundTripCallback = std::function<void(const RegionId&, Duration)>;

    /// `self` identifies this instance in every handshake.
    PeerClient(HelloMessage self, Limits limits, RoundTripCallback onRoundTrip = nullptr);

    /// Runs `message` on `peer` and writes its answer to `sink`. Throws Error, whose ran() says whether
    /// the request may have reached a backend server. `request.beforeSend` is called before anything is written.
    Task<void> run(const Member& peer, ForwardMessage message, const GatewayRequest& request, AnswerSink& sink);

    /// Opens a connection to `peer` if fewer than `count` are idle, so that a request need not wait for one. At most one
    /// is being opened at a time.
    Task<void> keepWarm(Member peer, std::size_t count);

    /// Closes the idle connections to instances that are no members any more or have another address, and those that have been closed.
    void sweepIdle(const MembershipView& membership);

private:
    using ConnectionPointer = std::unique_ptr<PeerConnection>;

    /// Whom a connection reaches. An address may pass from one instance to another, in whatever region.
    struct Target {
        InstanceId instance;
        RegionId region;
        Endpoint endpoint;

        auto operator<=>(const Target&) const = default;
    };

    static Target targetOf(const Member& peer) { return { peer.id, peer.region, peer.peers }; }
    Task<ConnectionPointer> acquireConnection(Target target, TimePoint deadline);
    Task<ConnectionPointer> openConnection(Target target, TimePoint deadline);
    void keepIdle(const Target& target, ConnectionPointer connection);
    Task<void> relayAnswer(PeerConnection& connection, RequestId request, AnswerSink& sink);

    HelloMessage self_;
    Limits limits_;
    RoundTripCallback onRoundTrip_;
    std::uint64_t lastRequest_ { 0 };
    std::map<Target, std::vector<ConnectionPointer>> idle_;
    std::set<Target> warming_;
};

} // namespace Ibisturn
