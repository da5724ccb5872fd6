#include <LibPeer/ControlLinks.h>

#include <LibCore/Log.h>
#include <LibKernel/SpawnDetached.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log controlLog("control");
/// A full configuration update carries every record.
constexpr ByteCount frameLimit { 32UL * 1024 * 1024 };
constexpr RequestId noRequest { 0 };

} // namespace

ControlLinks::Link::Link(Asio::io_context& context, Member member)
    : peer(std::move(member))
    , queueTimer(context)
{
}

ControlLinks::ControlLinks(Asio::io_context& context, HelloMessage self, Limits limits, ControlReceiver& receiver)
    : context_(context)
    , self_(std::move(self))
    , limits_(limits)
    , receiver_(receiver)
{
}

void ControlLinks::send(const Member& peer, PeerMessage message)
{
    auto& link = links_[peer.id];
    const bool hasAddressChanged = link && link->peer.peers != peer.peers;
    if (hasAddressChanged)
        drop(LinkPointer(link));
    if (!link || hasAddressChanged) {
        link = std::make_shared<Link>(context_, peer);
        links_[peer.id] = link;
        spawnDetached(context_, run(link), "control link");
    }
    enqueue(*link, std::move(message));
}

void ControlLinks::enqueue(Link& link, PeerMessage message)
{
    while (link.queue.size() >= maxQueuedMessages)
        link.queue.pop_front();
    link.queue.push_back(std::move(message));
    link.queueTimer.cancel();
}

Task<void> ControlLinks::run(LinkPointer link)
{
    try {
        co_await open(link);
        spawnDetached(context_, read(link), "control link reader");
        co_await write(link);
    } catch (const std::exception& error) {
        controlLog.debug("Control connection failed.", { { "peer", link->peer.id }, { "reason", error.what() } });
    }
    drop(link);
}

Task<void> ControlLinks::open(LinkPointer link)
{
    const Endpoint endpoint = link->peer.peers;
    PeerConnection connection = co_await PeerConnection::connect(endpoint, limits_.connectTimeout, frameLimit);
    link->connection = std::make_unique<PeerConnection>(std::move(connection));
    HelloMessage hello = self_;
    const HelloMessage other = co_await link->connection->handshake(std::move(hello), limits_.writeTimeout);
    // The address may have been reassigned to another instance since the instance list was read.
    if (other.instance != link->peer.id.value())
        throw Error(ResultCode::PeerUnreachable, Ran::No, "Another instance has this address");
}

Task<void> ControlLinks::write(LinkPointer link)
{
    while (!link->isBroken) {
        if (link->queue.empty()) {
            link->queueTimer.expires_after(limits_.idleTimeout);
            boost::system::error_code waitError;
            co_await link->queueTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, waitError));
            if (!waitError && link->queue.empty())
                co_return;
            continue;
        }
        PeerMessage message = std::move(link->queue.front());
        link->queue.pop_front();
        co_await link->connection->write(noRequest, std::move(message), limits_.writeTimeout);
    }
}

Task<void> ControlLinks::read(LinkPointer link)
{
    try {
        while (!link->isBroken) {
            const Frame frame = co_await link->connection->read(limits_.idleTimeout);
            std::optional<ControlEvent> event = toControlEvent(frame.message);
            if (event)
                co_await replyTo(link, std::move(*event));
        }
    } catch (const std::exception& error) {
        controlLog.debug("Control connection closed.", { { "peer", link->peer.id }, { "reason", error.what() } });
    }
    drop(link);
}

Task<void> ControlLinks::replyTo(LinkPointer link, ControlEvent event)
{
    InstanceId from = link->peer.id;
    const std::vector<PeerAction> replies = co_await receiver_.receive(std::move(from), std::move(event));
    for (const auto& action : replies)
        enqueue(*link, toPeerMessage(action));
}

void ControlLinks::drop(const LinkPointer& link)
{
    if (link->isBroken)
        return;
    link->isBroken = true;
    link->queueTimer.cancel();
    if (link->connection)
        link->connection->close();
    const auto found = links_.find(link->peer.id);
    if (found != links_.end() && found->second == link)
        links_.erase(found);
}

} // namespace Ibisturn
