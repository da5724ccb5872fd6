#include <LibHTTP/Peers/PeerServer.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Callers/ReadAheadSink.h>
#include <LibHTTP/Callers/SocketWatch.h>
#include <LibHTTP/Requests/InFlightRequest.h>
#include <LibPeer/Hello.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace Ibisturn {

namespace {

constexpr Log peerLog("peer");
constexpr std::size_t frameOverhead = 64UL * 1024;

/// Writes an answer as frames. The head is sent together with the first part, and if the length of the answer is
/// known, the last part together with the end.
class FrameSink final : public AnswerSink {
public:
    FrameSink(PeerConnection& connection, RequestId request, Duration timeout)
        : connection_(connection)
        , request_(request)
        , timeout_(timeout)
    {
    }

    Task<void> writeHead(const AnswerHead& head) override
    {
        remaining_ = head.contentLength;
        AnswerHeadMessage message { head.status, head.contentType, head.resume == ResumeSupport::Supported, {}, -1, head.version.value() };
        for (const auto& header : head.headers)
            message.headers.push_back({ header.name, header.value });
        if (head.contentLength)
            message.contentLength = static_cast<std::int64_t>(*head.contentLength);
        pending_.emplace_back(std::move(message));
        co_return;
    }

    Task<void> writePart(std::string_view part) override
    {
        pending_.emplace_back(AnswerPartMessage { std::string(part) });
        if (remaining_)
            *remaining_ -= std::min<std::uint64_t>(*remaining_, part.size());
        if (!remaining_ || *remaining_ > 0)
            co_await flush();
    }

    Task<void> writeEnd() override
    {
        pending_.emplace_back(AnswerEndMessage {});
        co_await flush();
    }

private:
    Task<void> flush()
    {
        std::string frames;
        for (auto& message : pending_)
            frames += connection_.encode(request_, std::move(message));
        pending_.clear();
        co_await connection_.writeBytes(frames, timeout_);
    }

    PeerConnection& connection_;
    RequestId request_;
    Duration timeout_;
    /// For the next write. Dropped if the answer fails before it.
    std::vector<PeerMessage> pending_;
    /// Remaining bytes of the answer, if its length is known.
    std::optional<std::uint64_t> remaining_;
};

Task<void> serveRequest(PeerConnection& connection, Frame frame, InstanceTables& tables, RequestRunner& runner)
{
    const InFlightRequest inFlight(tables.requestsInFlight);
    const auto timeout = tables.settings.requestTimeout;
    auto* forwarded = std::get_if<ForwardMessage>(&frame.message);
    if (!forwarded)
        throw Error(ResultCode::MalformedFrame, Ran::No, "The peer sent a frame that is not a request");
    FrameSink sink(connection, frame.request, timeout);
    std::string requestId = forwarded->routed.empty() ? std::string() : forwarded->routed.front().callerId;
    ReadAheadSink answer(connection.socket().get_executor(), sink, tables.requestMemory, runner.heldAnswers(), std::move(requestId), [&connection] { connection.close(); });
    std::optional<FailureMessage> failure;
    auto cancellation = std::make_shared<Cancellation>();
    {
        // The origin closes the connection to cancel. The end of the watch cancels what is under way on the socket, so it lasts until
        // everything is written.
        const SocketWatch watch(connection.socket(), cancellation);
        std::exception_ptr connectionFailure;
        try {
            if (tables.isDraining)
                throw Error(ResultCode::Draining, Ran::No, "The instance is shutting down");
            co_await runner.runFromPeer(std::move(*forwarded), std::move(cancellation), answer);
        } catch (const Error& error) {
            failure = FailureMessage { static_cast<std::uint16_t>(error.code()), static_cast<std::uint8_t>(error.ran()), error.what() };
        } catch (const boost::system::system_error&) {
            connectionFailure = std::current_exception();
        } catch (const std::exception& error) {
            peerLog.error("Request failed.", { { "reason", error.what() } });
            failure = FailureMessage { static_cast<std::uint16_t>(ResultCode::InternalError), static_cast<std::uint8_t>(Ran::Unknown), "Internal error of the instance" };
        }
        if (connectionFailure || (failure && failure->code == static_cast<std::uint16_t>(ResultCode::CallerGone)))
            answer.abandon();
        const auto undelivered = co_await answer.finish();
        if (connectionFailure)
            std::rethrow_exception(connectionFailure);
        if (undelivered)
            throw boost::system::system_error(Asio::error::connection_aborted);
    }
    if (!failure)
        co_return;
    PeerMessage message(std::move(*failure));
    co_await connection.write(frame.request, std::move(message), timeout);
}

Task<void> serveControl(PeerConnection& connection, InstanceId from, ControlEvent event, ControlReceiver& control)
{
    const std::vector<PeerAction> answers = co_await control.receive(std::move(from), std::move(event));
    for (const auto& answer : answers) {
        PeerMessage message = toPeerMessage(answer);
        co_await connection.write(RequestId(0), std::move(message), controlWriteTimeout);
    }
}

Task<void> refuseForMemory(PeerConnection& connection, RequestId request, InstanceTables& tables)
{
    const Error error(ResultCode::MemoryUsedUp, Ran::No, "The instance holds as many bytes of requests as its memory allows");
    peerLog.info("Request refused.", { { "code", resultCodeEntry(error.code()).name }, { "reason", error.what() } });
    PeerMessage message(FailureMessage { static_cast<std::uint16_t>(error.code()), static_cast<std::uint8_t>(error.ran()), error.what() });
    co_await connection.write(request, std::move(message), tables.settings.connectTimeout);
}

Task<void> serveFrames(PeerConnection& connection, InstanceTables& tables, RequestRunner& runner, ControlReceiver& control)
{
    HelloMessage hello = makeHelloMessage(tables.settings.identity);
    const HelloMessage other = co_await connection.handshake(std::move(hello), tables.settings.connectTimeout);
    for (;;) {
        // Released once the request has ended.
        auto memory = tables.requestMemory.open();
        std::function<bool(ByteCount)> admit = [&memory](ByteCount size) { return memory.growTo(costOfBody(size.count())); };
        auto received = co_await connection.readOrDiscard(tables.settings.idleTimeout, std::move(admit));
        if (const auto* discarded = std::get_if<RequestId>(&received)) {
            co_await refuseForMemory(connection, *discarded, tables);
            continue;
        }
        auto& frame = std::get<Frame>(received);
        const auto* forwarded = std::get_if<ForwardMessage>(&frame.message);
        if (forwarded && !memory.growTo(costOfBody(forwarded->body.size()))) {
            co_await refuseForMemory(connection, frame.request, tables);
            continue;
        }
        std::optional<ControlEvent> event = toControlEvent(frame.message);
        if (!event) {
            co_await serveRequest(connection, std::move(frame), tables, runner);
            continue;
        }
        InstanceId from(other.instance);
        co_await serveControl(connection, std::move(from), std::move(*event), control);
    }
}

} // namespace

Task<void> servePeer(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner, ControlReceiver& control)
{
    boost::beast::tcp_stream stream(std::move(socket));
    PeerConnection connection(std::move(stream), tables.settings.bodyLimit + ByteCount(frameOverhead));
    try {
        std::optional<Error> refusal;
        try {
            co_await serveFrames(connection, tables, runner, control);
        } catch (const Error& error) {
            refusal = error;
        }
        if (!refusal)
            co_return;
        tables.metrics.increment("ibisturn_peer_frames_refused_total");
        peerLog.warning("Connection refused.", { { "code", static_cast<unsigned>(refusal->code()) }, { "reason", refusal->what() } });
        co_await connection.refuse(*refusal, tables.settings.connectTimeout);
    } catch (const boost::system::system_error& error) {
        peerLog.debug("Connection ended.", { { "reason", error.code().message() } });
    }
}

} // namespace Ibisturn
