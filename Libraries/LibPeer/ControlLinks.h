#pragma once

#include <LibDecision/Membership/MembershipView.h>
#include <LibPeer/ControlReceiver.h>
#include <LibPeer/PeerConnection.h>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Ibisturn {

/// Sends control messages to peers, each over a control connection of its own, which opens when there is something to
/// say. A message that can't be sent is dropped: heartbeats repeat what matters.
/// Thread safety: one worker.
class ControlLinks {
public:
    struct Limits {
        Duration connectTimeout;
        /// How long a write may stall, and how long a silent connection is kept.
        Duration writeTimeout;
        Duration idleTimeout;
    };

    /// `self` is what this instance says of itself. Precondition: `receiver` outlives the links.
    ControlLinks(Asio::io_context& context, HelloMessage self, Limits limits, ControlReceiver& receiver);

    /// Sends a message to `peer`, or drops the oldest one that waits if too many do.
    void send(const Member& peer, PeerMessage message);

private:
    struct Link {
        explicit Link(Asio::io_context& context, Member member);
        Member peer;
        std::deque<PeerMessage> waiting;
        Asio::steady_timer wake;
        std::unique_ptr<PeerConnection> connection;
        bool isBroken { false };
    };
    using LinkPointer = std::shared_ptr<Link>;

    Task<void> run(LinkPointer link);
    Task<void> open(LinkPointer link);
    Task<void> write(LinkPointer link);
    Task<void> read(LinkPointer link);
    Task<void> answer(LinkPointer link, ControlEvent event);
    void drop(const LinkPointer& link);

    Asio::io_context& context_;
    HelloMessage self_;
    Limits limits_;
    ControlReceiver& receiver_;
    std::map<InstanceId, LinkPointer> links_;
};

} // namespace Ibisturn
