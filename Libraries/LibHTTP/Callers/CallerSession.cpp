#include <LibHTTP/Callers/CallerSession.h>

#include <LibCore/JsonText.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Requests/RequestTimeout.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibHTTP/Callers/CallerCredentials.h>
#include <LibHTTP/Callers/CallerSink.h>
#include <LibHTTP/Callers/ErrorBody.h>
#include <LibHTTP/Callers/RequestReader.h>
#include <LibHTTP/Callers/SocketWatch.h>
#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/InFlightRequest.h>
#include <LibKernel/GracefulClose.h>
#include <LibKernel/HttpLimits.h>

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr Log callerLog("caller", LineKind::Request);
/// A connection that is refused is given this long for its handshake.
constexpr Duration refusalWait = std::chrono::milliseconds(500);
constexpr int httpVersion11 = 11;
constexpr const char* jsonType = "application/json";

using PlainStream = Beast::tcp_stream;
using TlsStream = Beast::ssl_stream<Beast::tcp_stream>;

/// A connection of one caller.
template <typename Stream>
class CallerSession {
public:
    CallerSession(Stream stream, InstanceTables& tables, RequestRunner& runner)
        : stream_(std::move(stream))
        , tables_(tables)
        , runner_(runner)
    {
    }

    Stream& stream() { return stream_; }

    Task<void> run()
    {
        auto after = AfterRequest::KeepAlive;
        while (after == AfterRequest::KeepAlive)
            after = co_await serveOne();
        co_await closeGracefully(Beast::get_lowest_layer(stream_), pendingInput_);
    }

    /// Answers the first request that callers use all descriptors that they may use.
    Task<void> refuseConnection()
    {
        Error error(ResultCode::ConnectionsUsedUp, Ran::No, "Callers use all connections that the instance may have");
        error.setRetryAfter(runner_.callerConnections().retryAfter());
        co_await refuse(error);
        co_await closeGracefully(Beast::get_lowest_layer(stream_), PendingInput::Discard);
    }

private:
    Task<AfterRequest> serveOne()
    {
        // A residency refusal takes precedence over the body limit, so the limit applies only once the head was accepted.
        const auto reading = reader_.beginRequest({ static_cast<std::uint32_t>(tables_.settings.headLimit.count()), unlimitedBody });
        if (!reading)
            co_return AfterRequest::Close;
        expireAfter(tables_.settings.idleTimeout);
        boost::system::error_code error;
        {
            const IdleConnections::Scope idle(runner_.idleConnections(), Beast::get_lowest_layer(stream_).socket());
            co_await reader_.readHead(stream_, error);
        }
        if (error == Asio::error::operation_aborted)
            Beast::get_lowest_layer(stream_).close();
        if (error)
            co_return co_await refuseHead(error);
        const InFlightRequest inFlight(tables_.requestsInFlight);
        const auto busy = runner_.callerConnections().beginRequest();
        const auto started = SteadyClock().now();
        const auto after = co_await serveParsedHead();
        tables_.metrics.observe("ibisturn_request_seconds", SteadyClock().now() - started);
        co_return after;
    }

    Task<AfterRequest> refuseHead(boost::system::error_code error)
    {
        if (error == Http::error::header_limit)
            co_return co_await refuse({ ResultCode::HeadTooLarge, Ran::No, "The request's head exceeds the limit" });
        const bool isProtocolError = error.category() == make_error_code(Http::error::bad_version).category();
        if (isProtocolError && error != Http::error::end_of_stream)
            co_return co_await refuse({ ResultCode::MalformedRequest, Ran::No, "The request is not valid HTTP" });
        co_return AfterRequest::Close;
    }

    Task<AfterRequest> serveParsedHead()
    {
        const auto& head = reader_.request();
        Span span("entry", parseTraceparent(toView(head["traceparent"])));
        auto credentials = extractCredentials(toView(head[Http::field::authorization]), toView(head["X-Api-Key"]), toView(head.target()));
        const std::string path = credentials.target.substr(0, credentials.target.find('?'));
        if (path == "/healthz" || path == "/readyz")
            co_return co_await serveHealth(path);
        std::optional<Error> failure;
        auto after = AfterRequest::Close;
        try {
            after = co_await serveGateway(std::move(credentials), span);
        } catch (const Error& error) {
            failure = error;
        } catch (const std::exception& error) {
            failure = internalError(error);
        }
        if (failure) {
            span.setAttribute("result", std::string(resultCodeEntry(failure->code()).name));
            after = co_await refuse(*failure);
        }
        tables_.tracer.finish(span);
        co_return after;
    }

    Task<AfterRequest> serveGateway(CallerCredentials credentials, Span& span)
    {
        const auto snapshot = tables_.configuration.get();
        if (!snapshot)
            throw Error(ResultCode::ConfigurationNotReady, Ran::No, "The instance has no configuration yet");
        GatewayRequest request;
        request.target = std::move(credentials.target);
        const std::string path(request.path());
        const HeadDecision verdict = decideHead(*snapshot, tables_.settings.identity.region, { path, credentials.key });
        // Callers of any workspace may list the entries, also at instances outside their permitted regions.
        if (path == "/v1/entries" && (verdict.code == ResultCode::Ok || verdict.code == ResultCode::ResidencyRefused))
            co_return co_await serveEntries(*snapshot, verdict.workspace);
        if (verdict.code == ResultCode::ResidencyRefused)
            co_return co_await refuseForResidency(*snapshot, verdict.workspace);
        if (verdict.code != ResultCode::Ok)
            throw Error(verdict.code, Ran::No, std::string(resultCodeEntry(verdict.code).meaning));
        if (path == "/v1/models")
            co_return co_await serveModels(*snapshot, verdict.workspace);
        if (path == "/v1/idempotency-keys")
            co_return co_await serveIdempotencyKey(verdict.workspace);
        if (tables_.isDraining)
            throw Error(ResultCode::Draining, Ran::No, "The instance is shutting down");
        if (!isRoutableMethod(toView(reader_.request().method_string())))
            throw Error(ResultCode::MethodNotAllowed, Ran::No, "The path does not allow this method");
        co_await readBody();
        // Reading the body may have taken until the end of the shutdown, when the request would be cut.
        if (tables_.isRefusing)
            throw Error(ResultCode::Draining, Ran::No, "The instance is shutting down");
        request.workspace = verdict.workspace;
        request.method = std::string(reader_.request().method_string());
        request.contentType = std::string(reader_.request()[Http::field::content_type]);
        request.idempotencyKey = IdempotencyKey(std::string(reader_.request()["Idempotency-Key"]));
        request.body = std::move(reader_.body());
        request.parent = span.context();
        request.key = credentials.key;
        setDeadline(request);
        span.setAttribute("workspace", request.workspace.value());
        co_return co_await runRequest(std::move(request));
    }

    void setDeadline(GatewayRequest& request) const
    {
        const auto now = SteadyClock().now();
        request.deadline = now + tables_.settings.requestTimeout;
        const auto text = toView(reader_.request()["X-Request-Timeout"]);
        if (text.empty())
            return;
        const auto timeout = parseRequestTimeout(text);
        if (!timeout)
            throw Error(ResultCode::MalformedRequest, Ran::No, "X-Request-Timeout must be a whole number with the unit ms, s or m");
        request.callerDeadline = now + *timeout;
        request.deadline = std::min(request.deadline, *request.callerDeadline);
    }

    Task<AfterRequest> runRequest(GatewayRequest request)
    {
        CallerSink<Stream> sink(stream_, tables_.settings.idleTimeout, tables_.isDraining);
        request.cancellation = std::make_shared<Cancellation>();
        std::optional<Error> failure;
        try {
            const SocketWatch watch(Beast::get_lowest_layer(stream_).socket(), request.cancellation);
            co_await runner_.runFromCaller(std::move(request), sink);
        } catch (const Error& error) {
            failure = error;
        } catch (const std::exception& error) {
            failure = internalError(error);
        }
        if (!failure) {
            tables_.metrics.increment("ibisturn_requests_total{result=\"ok\"}");
            co_return reader_.canKeepAlive() && !tables_.isDraining ? AfterRequest::KeepAlive : AfterRequest::Close;
        }
        if (!sink.hasStarted())
            throw *failure;
        countFailure(*failure);
        if (sink.isEventStream() && failure->code() != ResultCode::CallerGone)
            co_await writeErrorEvent(sink, *failure);
        // The missing last chunk shows the caller that the answer is truncated.
        co_return AfterRequest::Close;
    }

    Task<void> readBody()
    {
        pendingInput_ = PendingInput::Discard;
        const auto bodyLimit = tables_.settings.bodyLimit.count();
        if (reader_.contentLength().value_or(0) > bodyLimit)
            throw Error(ResultCode::BodyTooLarge, Ran::No, "The request's body exceeds the limit");
        reader_.setBodyLimit(bodyLimit);
        expireAfter(tables_.settings.idleTimeout);
        co_await reader_.readBody(stream_);
    }

    Task<void> writeErrorEvent(CallerSink<Stream>& sink, Error failure)
    {
        const std::string event = "data: " + formatErrorBody(failure) + "\n\n";
        try {
            co_await sink.writePart(event);
        } catch (const Error&) {
            callerLog.debug("Caller disconnected before the error event was written.");
        }
    }

    Task<AfterRequest> serveHealth(std::string path)
    {
        const bool isReady = tables_.configuration.get() && !tables_.isDraining;
        const bool isHealthy = path == "/healthz" || isReady;
        const unsigned status = isHealthy ? 200 : 503;
        std::string body = isHealthy ? R"({"status":"ok"})" : R"({"status":"not ready"})";
        co_return co_await respond(status, std::move(body), AfterRequest::KeepAlive);
    }

    Task<AfterRequest> serveEntries(const Snapshot& snapshot, WorkspaceId workspace)
    {
        std::string body = formatEntries(entriesOf(snapshot, workspace));
        co_return co_await respond(200, std::move(body), AfterRequest::KeepAlive);
    }

    Task<AfterRequest> serveModels(const Snapshot& snapshot, WorkspaceId workspace)
    {
        auto list = nlohmann::json::array();
        for (const auto& route : snapshot.routes()) {
            if (!route.model.isEmpty() && canUseRoute(route, workspace))
                list.push_back({ { "id", route.model.value() }, { "object", "model" }, { "created", 0 }, { "owned_by", "ibisturn" } });
        }
        std::string body = toJsonText({ { "object", "list" }, { "data", std::move(list) } });
        co_return co_await respond(200, std::move(body), AfterRequest::KeepAlive);
    }

    Task<AfterRequest> serveIdempotencyKey(WorkspaceId workspace)
    {
        std::string body = nlohmann::json { { "idempotency_key", runner_.issueKey(workspace).value() } }.dump();
        co_return co_await respond(200, std::move(body), AfterRequest::KeepAlive);
    }

    Task<AfterRequest> refuseForResidency(const Snapshot& snapshot, WorkspaceId workspace)
    {
        const Error error(ResultCode::ResidencyRefused, Ran::No, "This instance is outside the permitted regions");
        countFailure(error);
        std::string body = formatErrorBody(error, entriesOf(snapshot, workspace));
        co_return co_await respond(resultCodeEntry(error.code()).httpStatus, std::move(body), AfterRequest::Close);
    }

    Task<AfterRequest> refuse(Error error)
    {
        countFailure(error);
        std::string body = formatErrorBody(error);
        co_return co_await respond(resultCodeEntry(error.code()).httpStatus, std::move(body), AfterRequest::Close, error.retryAfter());
    }

    Task<AfterRequest> respond(unsigned status, std::string body, AfterRequest after, std::optional<std::chrono::milliseconds> retryAfter = {})
    {
        if (tables_.isDraining || !reader_.canKeepAlive())
            after = AfterRequest::Close;
        Http::response<Http::string_body> response(static_cast<Http::status>(status), httpVersion11);
        response.set(Http::field::content_type, jsonType);
        if (retryAfter)
            response.set(Http::field::retry_after, std::to_string(std::chrono::ceil<std::chrono::seconds>(*retryAfter).count()));
        response.keep_alive(after == AfterRequest::KeepAlive);
        response.body() = std::move(body);
        response.prepare_payload();
        expireAfter(tables_.settings.idleTimeout);
        boost::system::error_code error;
        co_await Http::async_write(stream_, response, Asio::redirect_error(Asio::use_awaitable, error));
        co_return error ? AfterRequest::Close : after;
    }

    std::vector<Member> entriesOf(const Snapshot& snapshot, const WorkspaceId& workspace) const
    {
        const auto membership = tables_.membership.get();
        if (!membership)
            return {};
        auto entries = entriesFor(snapshot, *membership, workspace, tables_.settings.identity.region);
        // The live list may still contain this instance after its shutdown began.
        const auto isSelf = [this](const Member& entry) { return entry.id == tables_.settings.identity.instance; };
        if (tables_.isDraining)
            entries.erase(std::remove_if(entries.begin(), entries.end(), isSelf), entries.end());
        return entries;
    }

    void countFailure(const Error& error) const
    {
        tables_.metrics.increment(fmt::format("ibisturn_requests_total{{result=\"{}\"}}", resultCodeEntry(error.code()).name));
    }

    void expireAfter(Duration duration) { Beast::get_lowest_layer(stream_).expires_after(duration); }

    static Error internalError(const std::exception& error)
    {
        callerLog.error("Request failed.", { { "reason", error.what() } });
        return { ResultCode::InternalError, Ran::Unknown, "Internal error in the gateway" };
    }

    static std::string_view toView(Beast::string_view text) { return { text.data(), text.size() }; }

    Stream stream_;
    InstanceTables& tables_;
    RequestRunner& runner_;
    RequestReader reader_;
    PendingInput pendingInput_ { PendingInput::LeaveUnread };
};

} // namespace

Task<void> serveCaller(Asio::ip::tcp::socket socket, TlsContextPointer tls, InstanceTables& tables, RequestRunner& runner)
{
    boost::system::error_code ignored;
    socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
    const auto connection = runner.callerConnections().open();
    const auto refusal = connection ? std::nullopt : runner.callerConnections().beginRefusal();
    if (!connection && !refusal)
        co_return;
    try {
        if (!tls) {
            CallerSession<PlainStream> session(PlainStream(std::move(socket)), tables, runner);
            if (connection)
                co_await session.run();
            else
                co_await session.refuseConnection();
            co_return;
        }
        CallerSession<TlsStream> session(TlsStream(PlainStream(std::move(socket)), *tls), tables, runner);
        Beast::get_lowest_layer(session.stream()).expires_after(connection ? tables.settings.idleTimeout : refusalWait);
        co_await session.stream().async_handshake(Asio::ssl::stream_base::server, Asio::use_awaitable);
        if (connection)
            co_await session.run();
        else
            co_await session.refuseConnection();
    } catch (const boost::system::system_error& error) {
        callerLog.debug("Connection ended.", { { "reason", error.code().message() } });
    } catch (const std::exception& error) {
        callerLog.error("Connection failed.", { { "reason", error.what() } });
    }
}

} // namespace Ibisturn
