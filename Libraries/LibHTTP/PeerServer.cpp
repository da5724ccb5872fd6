#include <LibHTTP/PeerServer.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/RequestUnderWay.h>

#include <optional>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log peerLog("peer");
constexpr std::size_t frameOverhead = 64UL * 1024;

/// Writes an answer as frames.
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
        PeerMessage message(AnswerHeadMessage { head.status, head.contentType });
        co_await connection_.write(request_, std::move(message), timeout_);
    }

    Task<void> writePart(std::string_view part) override
    {
        PeerMessage message(AnswerPartMessage { std::string(part) });
        co_await connection_.write(request_, std::move(message), timeout_);
    }

    Task<void> writeEnd() override
    {
        PeerMessage message(AnswerEndMessage {});
        co_await connection_.write(request_, std::move(message), timeout_);
    }

private:
    PeerConnection& connection_;
    RequestId request_;
    Duration timeout_;
};

Task<void> serveRequest(PeerConnection& connection, Frame frame, InstanceTables& tables, RequestRunner& runner)
{
    const RequestUnderWay underWay(tables.requestsUnderWay);
    const auto timeout = tables.settings.requestTimeout;
    auto* forwarded = std::get_if<ForwardMessage>(&frame.message);
    if (!forwarded)
        throw Error(ResultCode::MalformedFrame, Ran::No, "The peer sent a frame that is not a request");
    FrameSink sink(connection, frame.request, timeout);
    std::optional<FailureMessage> failure;
    try {
        if (tables.isDraining)
            throw Error(ResultCode::Draining, Ran::No, "The instance is shutting down");
        co_await runner.runFromPeer(std::move(*forwarded), sink);
    } catch (const Error& error) {
        failure = FailureMessage { static_cast<std::uint16_t>(error.code()), static_cast<std::uint8_t>(error.ran()), error.what() };
    }
    if (!failure)
        co_return;
    PeerMessage message(std::move(*failure));
    co_await connection.write(frame.request, std::move(message), timeout);
}

Task<void> serveControl(PeerConnection& connection, InstanceId from, ControlEvent event, InstanceTables& tables, ControlReceiver& control)
{
    const std::vector<PeerAction> answers = co_await control.receive(std::move(from), std::move(event));
    for (const auto& answer : answers) {
        PeerMessage message = toPeerMessage(answer);
        co_await connection.write(RequestId(0), std::move(message), tables.settings.connectTimeout);
    }
}

} // namespace

Task<void> servePeer(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner, ControlReceiver& control)
{
    const auto& identity = tables.settings.identity;
    boost::beast::tcp_stream stream(std::move(socket));
    PeerConnection connection(std::move(stream), tables.settings.bodyLimit + ByteCount(frameOverhead));
    try {
        HelloMessage hello { identity.instance.value(), identity.region.value(), identity.dataCentre.value(), 0 };
        const HelloMessage other = co_await connection.handshake(std::move(hello), tables.settings.connectTimeout);
        for (;;) {
            Frame frame = co_await connection.read(tables.settings.idleTimeout);
            std::optional<ControlEvent> event = toControlEvent(frame.message);
            if (!event) {
                co_await serveRequest(connection, std::move(frame), tables, runner);
                continue;
            }
            InstanceId from(other.instance);
            co_await serveControl(connection, std::move(from), std::move(*event), tables, control);
        }
    } catch (const Error& error) {
        tables.metrics.increment("ibisturn_peer_frames_refused_total");
        peerLog.warning("Connection refused.", { { "code", static_cast<unsigned>(error.code()) }, { "reason", error.what() } });
    } catch (const boost::system::system_error& error) {
        peerLog.debug("Connection ended.", { { "reason", error.code().message() } });
    }
}

} // namespace Ibisturn
