#pragma once

#include <LibDecision/Membership/MembershipView.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>
#include <LibPeer/PeerConnection.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Ibisturn {

/// The link to a peer failed; what the peer itself said of a request is a plain Error.
class PeerLinkError final : public Error {
public:
    using Error::Error;
};

/// Hands requests to other instances and passes their answers on. It never repeats a request.
/// Thread safety: the worker that owns it.
class PeerClient {
public:
    struct Limits {
        Duration connectTimeout;
        Duration silenceTimeout;
        ByteCount frame;
    };

    /// `self` is what this instance says of itself in every handshake.
    PeerClient(HelloMessage self, Limits limits);

    /// Runs `message` on `peer` and writes its answer to `sink`. Throws Error, whose ran() says whether
    /// the request may have reached a backend server. `request` says when it may be handed over.
    Task<void> run(const Member& peer, ForwardMessage message, const GatewayRequest& request, AnswerSink& sink);

    /// Opens connections to `peer` until `count` are idle, so that a request does not wait for one. At most one at a time.
    Task<void> keepWarm(Member peer, std::size_t count);

private:
    using ConnectionPointer = std::unique_ptr<PeerConnection>;

    Task<ConnectionPointer> obtain(Endpoint endpoint);
    Task<ConnectionPointer> open(Endpoint endpoint);
    Task<void> passAnswer(PeerConnection& connection, RequestId request, AnswerSink& sink);

    HelloMessage self_;
    Limits limits_;
    std::uint64_t lastRequest_ { 0 };
    std::map<Endpoint, std::vector<ConnectionPointer>> idle_;
    std::set<Endpoint> warming_;
};

} // namespace Ibisturn
