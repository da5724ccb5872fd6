#include <LibHTTP/Peers/PeerClient.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Backends/AnswerBoundError.h>
#include <LibHTTP/Callers/SocketWatch.h>
#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibKernel/HttpLimits.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log peerLog("peer");
/// Late frames of earlier requests that are skipped before the end of an answer.
constexpr std::size_t maxOtherFrames = 16;
constexpr std::size_t maxIdlePerPeer = 64;

Error errorOf(const FailureMessage& failure)
{
    auto code = resultCodeFromNumber(failure.code).value_or(ResultCode::OutcomeUnknown);
    if (code == ResultCode::Ok)
        code = ResultCode::OutcomeUnknown;
    const auto ran = failure.ran <= static_cast<std::uint8_t>(Ran::Yes) ? static_cast<Ran>(failure.ran) : Ran::Unknown;
    return { code, ran, failure.text };
}

/// Reads a frame after a request was sent: one that is not readable may be the answer, so it is unknown whether the request ran.
Task<Frame> readAnswerFrame(PeerConnection& connection, Duration timeout)
{
    try {
        Frame frame = co_await connection.read(timeout);
        co_return frame;
    } catch (const Error& error) {
        if (error.code() == ResultCode::FrameTooLarge)
            throw AnswerBoundError(ResultCode::OutcomeUnknown, Ran::Unknown, error.what());
        throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, error.what());
    }
}

AnswerHead readHead(const AnswerHeadMessage& message)
{
    if (!isFinalStatus(message.status) || !isHeaderText(message.contentType))
        throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, "The peer sent an answer's head that HTTP does not allow");
    AnswerHead head;
    head.status = message.status;
    head.contentType = message.contentType;
    head.resume = message.canResume ? ResumeSupport::Supported : ResumeSupport::Unsupported;
    head.version = SoftwareVersion(message.version);
    for (const auto& header : message.headers) {
        if (!isHeaderText(header.name) || !isHeaderText(header.value))
            throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, "The peer sent a header that HTTP does not allow");
        head.headers.push_back({ header.name, header.value });
    }
    if (message.contentLength >= 0)
        head.contentLength = static_cast<std::uint64_t>(message.contentLength);
    return head;
}

} // namespace

PeerClient::PeerClient(HelloMessage self, Limits limits, RoundTripCallback onRoundTrip)
    : self_(std::move(self))
    , limits_(limits)
    , onRoundTrip_(std::move(onRoundTrip))
{
}

Task<void> PeerClient::run(const Member& peer, ForwardMessage message, const GatewayRequest& gatewayRequest, AnswerSink& sink)
{
    const Target target = targetOf(peer);
    ConnectionPointer connection = co_await acquireConnection(target, gatewayRequest.deadline);
    const Cancellation::Scope closing(gatewayRequest.cancellation, [&connection] { connection->close(); });
    const RequestId request(++lastRequest_);
    if (gatewayRequest.beforeSend)
        gatewayRequest.beforeSend(std::nullopt);
    std::string problem;
    PeerMessage outgoing(std::move(message));
    try {
        co_await connection->write(request, std::move(outgoing), limits_.silenceTimeout);
        co_await relayAnswer(*connection, request, sink);
    } catch (const boost::system::system_error& error) {
        problem = error.what();
    }
    // The frame may have arrived, so only the receiver can report that the request did not run.
    if (!problem.empty())
        throw PeerConnectionError(ResultCode::OutcomeUnknown, Ran::Unknown, "The connection to the peer failed: " + problem);
    keepIdle(target, std::move(connection));
}

Task<PeerClient::ConnectionPointer> PeerClient::acquireConnection(Target target, TimePoint deadline)
{
    auto& idle = idle_[target];
    while (!idle.empty()) {
        ConnectionPointer connection = std::move(idle.back());
        idle.pop_back();
        // Using a connection that the peer has closed in the meantime would leave it unknown whether the request ran.
        if (probeSocket(connection->socket()) != SocketState::Closed)
            co_return connection;
    }
    co_return co_await openConnection(std::move(target), deadline);
}

Task<PeerClient::ConnectionPointer> PeerClient::openConnection(Target target, TimePoint deadline)
{
    const auto timeout = [this, deadline] { return std::min(limits_.connectTimeout, deadline - SteadyClock().now()); };
    auto connection = std::make_unique<PeerConnection>(co_await PeerConnection::connect(target.endpoint, timeout(), limits_.frame));
    bool failed = false;
    HelloMessage hello = self_;
    HelloMessage other;
    const auto started = SteadyClock().now();
    try {
        other = co_await connection->handshake(std::move(hello), timeout());
    } catch (const boost::system::system_error&) {
        failed = true;
    }
    if (failed)
        throw PeerConnectionError(ResultCode::PeerUnreachable, Ran::No, "The peer did not complete the handshake");
    // A request may be forbidden to reach the instance that has the address by now, or its region.
    if (other.instance != target.instance.value())
        throw PeerConnectionError(ResultCode::PeerUnreachable, Ran::No, "Another instance has the peer's address");
    if (!other.region.empty() && other.region != target.region.value())
        throw PeerConnectionError(ResultCode::PeerUnreachable, Ran::No, "The peer is in another region than its entry says");
    if (onRoundTrip_)
        onRoundTrip_(target.region, SteadyClock().now() - started);
    co_return connection;
}

Task<void> PeerClient::keepWarm(Member peer, std::size_t count)
{
    const Target target = targetOf(peer);
    auto& idle = idle_[target];
    std::erase_if(idle, [](const ConnectionPointer& connection) { return probeSocket(connection->socket()) == SocketState::Closed; });
    if (idle.size() >= count || !warming_.insert(target).second)
        co_return;
    try {
        ConnectionPointer connection = co_await openConnection(target, TimePoint::max());
        idle_[target].push_back(std::move(connection));
    } catch (const Error& error) {
        // A request that needs the connection will report the failure itself.
        peerLog.debug("Peer unreachable.", { { "peer", peer.id }, { "reason", error.what() } });
    }
    warming_.erase(target);
}

void PeerClient::keepIdle(const Target& target, ConnectionPointer connection)
{
    auto& idle = idle_[target];
    if (idle.size() < maxIdlePerPeer)
        idle.push_back(std::move(connection));
}

void PeerClient::sweepIdle(const MembershipView& membership)
{
    std::set<Target> used;
    for (const auto& member : membership.instances)
        used.insert(targetOf(member));
    std::erase_if(idle_, [&used](const auto& entry) { return !used.contains(entry.first); });
    for (auto& [target, connections] : idle_)
        std::erase_if(connections, [](const ConnectionPointer& connection) { return probeSocket(connection->socket()) == SocketState::Closed; });
}

Task<void> PeerClient::relayAnswer(PeerConnection& connection, RequestId request, AnswerSink& sink)
{
    std::size_t otherFrames = 0;
    bool hasHead = false;
    std::optional<std::uint64_t> remaining;
    for (;;) {
        const Frame frame = co_await readAnswerFrame(connection, limits_.silenceTimeout);
        // Ignore a late frame of an earlier request on this connection.
        if (frame.request != request) {
            if (++otherFrames > maxOtherFrames)
                throw AnswerBoundError(ResultCode::OutcomeUnknown, Ran::Unknown, "The peer sent too many frames of other requests");
            continue;
        }
        if (const auto* failure = std::get_if<FailureMessage>(&frame.message))
            throw errorOf(*failure);
        const auto* head = std::get_if<AnswerHeadMessage>(&frame.message);
        // The head comes first, and once.
        if (hasHead == (head != nullptr))
            throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, "The peer sent a frame that does not belong at this place of an answer");
        if (std::holds_alternative<AnswerEndMessage>(frame.message)) {
            co_await sink.writeEnd();
            co_return;
        }
        if (const auto* part = std::get_if<AnswerPartMessage>(&frame.message)) {
            if (remaining && part->part.size() > *remaining)
                throw AnswerBoundError(ResultCode::AnswerCut, Ran::Unknown, "The peer's answer is longer than its head says");
            if (remaining)
                *remaining -= part->part.size();
            co_await sink.writePart(part->part);
            continue;
        }
        if (!head)
            throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, "The peer sent a frame that does not belong to an answer");
        const AnswerHead answerHead = readHead(*head);
        hasHead = true;
        remaining = answerHead.contentLength;
        co_await sink.writeHead(answerHead);
    }
}

} // namespace Ibisturn
