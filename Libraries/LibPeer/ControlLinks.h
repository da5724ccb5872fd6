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

/// Sends control messages to peers over one control connection per peer, opened on demand. A message that cannot be sent
/// is dropped, since later heartbeats repeat the essential state.
/// Thread safety: one worker.
class ControlLinks {
public:
    struct Limits {
        Duration connectTimeout;
        /// How long a write may stall.
        Duration writeTimeout;
        /// How long a connection without traffic stays open.
        Duration idleTimeout;
    };

    /// `self` is sent to peers in the handshake. Precondition: `receiver` outlives this object.
    ControlLinks(Asio::io_context& context, HelloMessage self, Limits limits, ControlReceiver& receiver);

    /// The maximum number of messages that wait for one peer.
    static constexpr std::size_t maxQueuedMessages = 32;

    /// Queues a message for `peer`. Drops the oldest queued message if the queue is full.
    void send(const Member& peer, PeerMessage message);

private:
    struct Link {
        explicit Link(Asio::io_context& context, Member member);
        Member peer;
        std::deque<PeerMessage> queue;
        Asio::steady_timer queueTimer;
        std::unique_ptr<PeerConnection> connection;
        bool isBroken { false };
    };
    using LinkPointer = std::shared_ptr<Link>;

    static void enqueue(Link& link, PeerMessage message);
    Task<void> run(LinkPointer link);
    Task<void> open(LinkPointer link);
    Task<void> write(LinkPointer link);
    Task<void> read(LinkPointer link);
    Task<void> replyTo(LinkPointer link, ControlEvent event);
    void drop(const LinkPointer& link);

    Asio::io_context& context_;
    HelloMessage self_;
    Limits limits_;
    ControlReceiver& receiver_;
    std::map<InstanceId, LinkPointer> links_;
};

} // namespace Ibisturn
