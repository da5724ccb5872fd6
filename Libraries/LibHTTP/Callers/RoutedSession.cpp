#include <LibHTTP/Callers/RoutedSession.h>

#include <LibCore/SteadyClock.h>
#include <LibDecision/Requests/ServiceChoice.h>
#include <LibHTTP/Callers/CallerSink.h>
#include <LibHTTP/Callers/ReadAheadSink.h>
#include <LibHTTP/Callers/RequestReader.h>
#include <LibHTTP/Callers/SocketWatch.h>
#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/InFlightRequest.h>
#include <LibKernel/GracefulClose.h>
#include <LibKernel/Pause.h>
#include <LibKernel/SocketOptions.h>

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr Log callerLog("caller", LineKind::Request);
constexpr int httpVersion11 = 11;
/// An instance that has just started receives its configuration after a few round trips to the store. A request waits at
/// most this long for it.
constexpr Duration maxConfigurationWait = std::chrono::milliseconds(300);
constexpr Duration configurationPollInterval = std::chrono::milliseconds(20);
constexpr auto notReadyRetryAfter = std::chrono::milliseconds(300);
/// A connection that is refused is given this long to send the head of its request, whose id the answer then carries.
constexpr Duration refusalWait = std::chrono::milliseconds(500);

class RoutedSession {
public:
    RoutedSession(Beast::tcp_stream stream, InstanceTables& tables, RequestRunner& runner, const CallerDialect& dialect)
        : stream_(std::move(stream))
        , tables_(tables)
        , runner_(runner)
        , dialect_(dialect)
    {
    }

    Task<void> run()
    {
        auto after = AfterRequest::KeepAlive;
        while (after == AfterRequest::KeepAlive)
            after = co_await serveOne();
        // What arrives meanwhile is held until it is read.
        const bool isReserved = connectionMemory_.growTo(costOfConnection);
        const auto refusal = isReserved ? std::nullopt : runner_.callerConnections().beginRefusal();
        if (isReserved || refusal)
            co_await closeGracefully(stream_, pendingInput_);
        else
            closeWithoutWaiting(stream_.socket());
    }

    /// Answers the first request, or a connection without one, that callers use all descriptors that they may use.
    Task<void> refuseConnection()
    {
        const auto refusal = runner_.callerConnections().beginRefusal();
        if (refusal)
            co_await readRefusedHead();
        auto failure = connectionsUsedUpError();
        recordFailure(failure, AfterRequest::Close);
        if (!refusal) {
            writeWithoutWaiting(failure);
            co_return;
        }
        co_await write(failure, AfterRequest::Close);
        co_await closeGracefully(stream_, PendingInput::Discard);
    }

private:
    Task<void> readRefusedHead()
    {
        const auto reading = reader_.beginRequest(readerLimits());
        stream_.expires_after(refusalWait);
        boost::system::error_code error;
        co_await reader_.readHead(stream_, error);
        readIdentity();
    }

    // A malformed head names its request all the same, but nothing else of it is used.
    void readIdentity()
    {
        if (!reader_.hasHead())
            return;
        try {
            callerId_ = dialect_.readHead(reader_.request()).callerId;
            target_ = targetOf(reader_.request());
        } catch (const Error&) {
            callerId_.clear();
        }
    }

    // Reads the id of a request that is refused before its head was read, if the whole head has arrived. The connection goes on if the
    // request ends with it.
    void readArrivedHead()
    {
        reader_.setFieldReservation(nullptr);
        reader_.parseArrivedHead();
        readIdentity();
        pendingInput_ = reader_.isConsumed() ? PendingInput::LeaveUnread : PendingInput::Discard;
    }

    static std::string targetOf(const RequestReader::Request& request) { return { request.target().data(), request.target().size() }; }

    RequestReader::Limits readerLimits() const { return { static_cast<std::uint32_t>(limits().head.count()), limits().body.count() }; }

    Error connectionsUsedUpError()
    {
        Error error(ResultCode::ConnectionsUsedUp, Ran::No, "Callers use all connections that the instance may have");
        error.setRetryAfter(runner_.callerConnections().retryAfter());
        return error;
    }

    // The send buffer of a new connection takes the whole answer.
    void writeWithoutWaiting(const Error& failure)
    {
        const std::string answer = dialect_.formatFailure(failure, callerId_, AfterAnswer::Close);
        boost::system::error_code ignored;
        stream_.socket().non_blocking(true, ignored);
        stream_.socket().write_some(Asio::buffer(answer), ignored);
        stream_.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
    }

    Task<AfterRequest> serveOne()
    {
        callerId_.clear();
        target_.clear();
        // Outlives the reading of the request, which holds the body.
        auto memory = tables_.requestMemory.open();
        releaseConnectionMemory();
        const auto reading = reader_.beginRequest(readerLimits());
        if (!reading)
            co_return AfterRequest::Close;
        reader_.setFieldReservation([this](std::uint64_t bytes) { return reserveFields(bytes); });
        boost::system::error_code error;
        {
            const IdleConnections::Scope idle(runner_.idleConnections(), stream_.socket());
            stream_.expires_after(limits().idleTimeout);
            co_await reader_.awaitFirstByte(stream_, error);
        }
        if (error == Asio::error::operation_aborted)
            stream_.close();
        if (error)
            co_return AfterRequest::Close;
        const InFlightRequest inFlight(tables_.requestsInFlight);
        const auto busy = runner_.callerConnections().beginRequest();
        stream_.expires_after(limits().headTimeout);
        std::optional<Error> failure;
        try {
            reserveConnection();
            RequestReader::BeforeRead beforeRead = [this](std::size_t capacity) { reserveBuffer(capacity); };
            co_await reader_.readHead(stream_, error, std::move(beforeRead));
        } catch (const Error& caught) {
            failure = caught;
        }
        if (failure) {
            readArrivedHead();
            co_return co_await refuse(std::move(*failure));
        }
        if (error)
            co_return co_await refuseHead(error);
        auto after = AfterRequest::Close;
        try {
            after = co_await serveRequest(memory);
        } catch (const Error& caught) {
            failure = caught;
        } catch (const std::exception& caught) {
            callerLog.error("Request failed.", { { "request", callerId_ }, { "reason", caught.what() } });
            failure = Error(ResultCode::InternalError, Ran::Unknown, "Internal error in the gateway");
        }
        if (failure)
            after = co_await refuse(std::move(*failure));
        co_return after;
    }

    Task<AfterRequest> refuseHead(boost::system::error_code error)
    {
        if (error == Http::error::end_of_stream || error == Http::error::partial_message)
            co_return AfterRequest::Close;
        ResultCode code = ResultCode::MalformedRequest;
        if (error == Beast::error::timeout)
            code = ResultCode::RequestReadTimeout;
        else if (error == Http::error::header_limit)
            code = ResultCode::HeadTooLarge;
        else if (error == boost::system::errc::not_enough_memory)
            code = ResultCode::MemoryUsedUp;
        else if (error == Http::error::body_limit)
            code = ResultCode::BodyTooLarge;
        else if (error.category() != make_error_code(Http::error::bad_version).category())
            co_return AfterRequest::Close;
        pendingInput_ = PendingInput::Discard;
        readIdentity();
        Error refusal(code, Ran::No, fmt::format("{} ({})", resultCodeEntry(code).meaning, error.message()));
        if (code == ResultCode::MemoryUsedUp)
            refusal.setRetryAfter(tables_.connectionMemory.estimateWait(SteadyClock().now(), costOfConnection));
        recordFailure(refusal, AfterRequest::Close);
        co_return co_await write(refusal, AfterRequest::Close);
    }

    Task<AfterRequest> serveRequest(MemoryBudget::Reservation& memory)
    {
        const auto arrived = SteadyClock().now();
        auto snapshot = tables_.configuration.get();
        for (; !snapshot && SteadyClock().now() < arrived + maxConfigurationWait; snapshot = tables_.configuration.get())
            co_await pause(configurationPollInterval);
        CallerHead head = dialect_.readHead(reader_.request());
        callerId_ = head.callerId;
        target_ = targetOf(reader_.request());
        if (!snapshot)
            throw notReadyError();
        refuseDuringShutdown();
        GatewayRequest request;
        request.target = target_;
        request.method = std::string(reader_.request().method_string().data(), reader_.request().method_string().size());
        const auto* route = snapshot->findRouteByHostAndPath(head.host, request.path());
        if (!route)
            throw Error(ResultCode::RouteNotFound, Ran::No, "No route serves this host and path");
        request.workspace = workspaceOf(*snapshot, *route, head);
        tables_.routeDemand.record(arrived, route->id);
        if (!isRoutableMethod(request.method))
            throw Error(ResultCode::MalformedRequest, Ran::No, "The path does not allow this method");
        request.routed = makeRouted(*snapshot, *route, request.workspace, head, arrived);
        request.resumeAfter = head.lastEventId;
        request.key = head.key;
        setDeadline(request, *route, head, arrived);
        co_await readBody(request.deadline, memory);
        // Reading the body may have taken until the end of the shutdown, when the request would be cut.
        refuseDuringShutdown();
        request.body = std::move(reader_.body());
        const WorkspaceId workspace = request.workspace;
        const auto tokens = takeAllowance(*snapshot, request, head.promptTokens.has_value());
        std::optional<Error> failure;
        auto after = AfterRequest::Close;
        try {
            after = co_await runRequest(std::move(request), memory);
        } catch (const Error& error) {
            failure = error;
        }
        if (!failure)
            co_return after;
        if (failure->ran() == Ran::No)
            tables_.allowance.refund(SteadyClock().now(), workspace, tokens);
        throw *failure;
    }

    /// Deducts the tokens of a request from its workspace's allowance. Throws if the allowance is used up.
    TokenCount takeAllowance(const Snapshot& snapshot, const GatewayRequest& request, bool hasTokenCount)
    {
        const auto* workspace = snapshot.findWorkspace(request.workspace);
        if (!workspace)
            return TokenCount(0);
        const auto declaredTokens = request.routed->promptTokens + request.routed->maxAnswerTokens;
        const auto tokens = hasTokenCount ? declaredTokens : workspace->defaultRequestTokens;
        const auto wait = tables_.allowance.take(SteadyClock().now(), workspace->id, { workspace->rate, workspace->burst }, tokens);
        if (!wait)
            return tokens;
        Error error(ResultCode::AllowanceExceeded, Ran::No, "The workspace has used up its allowance");
        error.setRetryAfter(std::chrono::ceil<std::chrono::milliseconds>(*wait));
        throw error;
    }

    /// Throws if the instance accepts no more requests.
    void refuseDuringShutdown() const
    {
        if (tables_.isRefusing)
            throw Error(ResultCode::Draining, Ran::No, "The instance is shutting down");
    }

    static Error notReadyError()
    {
        Error error(ResultCode::ConfigurationNotReady, Ran::No, "The instance has no configuration yet");
        error.setRetryAfter(notReadyRetryAfter);
        return error;
    }

    static WorkspaceId workspaceOf(const Snapshot& snapshot, const Route& route, const CallerHead& head)
    {
        const auto* key = head.key ? snapshot.findKey(*head.key) : nullptr;
        if (key)
            return key->workspace;
        if (route.access == RouteAccess::OpenToAll)
            return {};
        throw Error(head.key ? ResultCode::KeyUnknown : ResultCode::KeyMissing, Ran::No, "The key is missing, unknown or withdrawn");
    }

    static RoutedRequest makeRouted(const Snapshot& snapshot, const Route& route, const WorkspaceId& workspace, CallerHead& head, TimePoint arrived)
    {
        const auto& policy = *route.policy;
        const auto* owner = snapshot.findWorkspace(workspace);
        RoutedRequest routed;
        routed.route = route.id;
        routed.revision = snapshot.revision();
        routed.homeRegions = homeRegionsFor(snapshot, workspace, route.id);
        // A stream goes on at the service to which the attempt that began it was sent.
        const bool namesStream = policy.resume == ResumeSupport::Supported && head.lastEventId && head.resumes && !head.resumes->empty();
        routed.service = chooseService(policy.services, std::hash<std::string> {}(namesStream ? *head.resumes : head.callerId));
        routed.resumes = std::move(head.resumes);
        routed.callerId = std::move(head.callerId);
        routed.host = std::move(head.host);
        routed.headers = std::move(head.forwardedHeaders);
        routed.prompt = std::move(head.prompt);
        routed.promptTokens = head.promptTokens.value_or(TokenCount(0));
        routed.maxAnswerTokens = head.maxAnswerTokens;
        routed.priority = owner && owner->priority ? *owner->priority : policy.priority;
        routed.target = arrived + policy.targetLatency;
        routed.resume = policy.resume;
        return routed;
    }

    void setDeadline(GatewayRequest& request, const Route& route, const CallerHead& head, TimePoint arrived) const
    {
        const auto timeout = route.policy->timeout > Duration::zero() ? route.policy->timeout : tables_.settings.requestTimeout;
        request.deadline = arrived + std::min(timeout, head.requestedTimeout.value_or(timeout));
        request.callerDeadline = request.deadline;
    }

    // Throws MemoryUsedUp if there is no memory for the body, and RequestReadTimeout if it is not complete at the request's deadline.
    Task<void> readBody(TimePoint deadline, MemoryBudget::Reservation& memory)
    {
        stream_.expires_after(std::min<Duration>(limits().headTimeout + limits().idleTimeout, deadline - SteadyClock().now()));
        if (reader_.isConsumed())
            co_return;
        // A caller that sends the whole body before it reads must still receive a refusal.
        pendingInput_ = PendingInput::Discard;
        if (const auto length = reader_.contentLength())
            reserve(memory, *length);
        RequestReader::BeforeRead beforeRead = [this](std::size_t capacity) { reserveBuffer(capacity); };
        RequestReader::BeforePart beforePart = [this, &memory] { reserveNextPart(memory); };
        co_await reader_.readBody(stream_, std::move(beforeRead), std::move(beforePart));
        pendingInput_ = PendingInput::LeaveUnread;
        reader_.body().shrink_to_fit();
        memory.shrinkTo(costOfBody(reader_.body().capacity()));
    }

    // An idle connection holds nothing but the bytes of a pipelined request.
    void releaseConnectionMemory()
    {
        reader_.shrinkBuffer();
        bufferBytes_ = 0;
        fieldBytes_ = 0;
        connectionMemory_ = tables_.connectionMemory.open();
    }

    bool growConnectionMemory() { return connectionMemory_.growTo(ByteCount(costOfConnection.count() + bufferBytes_ + fieldBytes_)); }

    // Throws MemoryUsedUp if there is no memory for the connection.
    void reserveConnection()
    {
        if (growConnectionMemory())
            return;
        throw memoryUsedUpError(tables_.connectionMemory, costOfConnection, SteadyClock().now());
    }

    // Throws MemoryUsedUp if there is no memory for a buffer of `capacity` bytes.
    void reserveBuffer(std::size_t capacity)
    {
        bufferBytes_ = capacity > RequestReader::firstRead ? capacity - RequestReader::firstRead : 0;
        reserveConnection();
    }

    bool reserveFields(std::uint64_t bytes)
    {
        fieldBytes_ = bytes;
        return growConnectionMemory();
    }

    void reserve(MemoryBudget::Reservation& memory, std::uint64_t bodySize)
    {
        const auto cost = costOfBody(bodySize);
        bool isReserved = memory.growTo(cost);
        while (!isReserved && runner_.heldAnswers().giveUpLongestStalled())
            isReserved = memory.growTo(cost);
        if (!isReserved)
            throw memoryUsedUpError(tables_.requestMemory, cost, SteadyClock().now());
    }

    // The size of a chunked body is not known in advance. It grows here only, not while a part is read.
    void reserveNextPart(MemoryBudget::Reservation& memory)
    {
        if (reader_.contentLength())
            return;
        auto& body = reader_.body();
        // Beast reads as much as fits into the buffer, and at least this.
        constexpr std::size_t minReadSize = 512;
        const auto needed = body.size() + std::max(reader_.bufferCapacity(), reader_.bufferedBytes() + minReadSize);
        if (costOfBody(needed) <= memory.size())
            return;
        const auto capacity = std::max<std::size_t>(needed, std::min<std::size_t>(2 * body.size(), limits().body.count()));
        reserve(memory, capacity);
        body.reserve(capacity);
    }

    Task<AfterRequest> runRequest(GatewayRequest request, MemoryBudget::Reservation& memory)
    {
        CallerSink<Beast::tcp_stream> sink(stream_, tables_.settings.idleTimeout, tables_.isDraining);
        ReadAheadSink answer(stream_.get_executor(), sink, tables_.requestMemory, runner_.heldAnswers(), callerId_, [this] { stream_.close(); });
        const auto cancellation = std::make_shared<Cancellation>();
        request.cancellation = cancellation;
        const auto started = SteadyClock().now();
        std::optional<Error> failure;
        {
            // Its end cancels what is under way on the socket, so it lasts until everything is written.
            const SocketWatch watch(stream_.socket(), cancellation);
            std::exception_ptr unexpected;
            try {
                co_await runner_.runFromCaller(std::move(request), answer);
            } catch (const Error& error) {
                failure = error;
            } catch (...) {
                unexpected = std::current_exception();
            }
            if (failure && failure->code() == ResultCode::CallerGone)
                answer.abandon();
            // The request is not needed any more. What the backend server sent is delivered even if its answer was cut.
            memory.shrinkTo(ByteCount(0));
            const auto undelivered = co_await answer.finish();
            if (unexpected)
                std::rethrow_exception(unexpected);
            if (undelivered && !failure)
                failure = undelivered;
        }
        tables_.metrics.observe("ibisturn_request_seconds", SteadyClock().now() - started);
        if (!failure) {
            tables_.metrics.increment("ibisturn_requests_total{result=\"ok\"}");
            co_return reader_.canKeepAlive() && !tables_.isDraining ? AfterRequest::KeepAlive : AfterRequest::Close;
        }
        if (!sink.hasStarted())
            throw *failure;
        // The missing last chunk shows the caller that the answer is truncated.
        recordFailure(*failure, AfterRequest::Close);
        co_return AfterRequest::Close;
    }

    Task<AfterRequest> refuse(Error failure)
    {
        // Peers don't say when to return.
        if (failure.code() == ResultCode::MemoryUsedUp && !failure.retryAfter())
            failure.setRetryAfter(tables_.requestMemory.estimateWait(SteadyClock().now(), ByteCount(0)));
        const bool isGone = failure.code() == ResultCode::CallerGone;
        const auto after = reader_.canKeepAlive() && !isGone && !tables_.isDraining ? AfterRequest::KeepAlive : AfterRequest::Close;
        recordFailure(failure, after);
        co_return isGone ? after : co_await write(failure, after);
    }

    Task<AfterRequest> write(const Error& failure, AfterRequest after)
    {
        const std::string answer = dialect_.formatFailure(failure, callerId_, after == AfterRequest::KeepAlive ? AfterAnswer::KeepAlive : AfterAnswer::Close);
        stream_.expires_after(tables_.settings.idleTimeout);
        boost::system::error_code error;
        co_await Asio::async_write(stream_, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
        co_return error ? AfterRequest::Close : after;
    }

    void recordFailure(const Error& failure, AfterRequest after) const
    {
        tables_.metrics.increment(fmt::format("ibisturn_requests_total{{result=\"{}\"}}", resultCodeEntry(failure.code()).name));
        const auto snapshot = tables_.configuration.get();
        const auto retryAfter = failure.retryAfter() ? failure.retryAfter()->count() : -1;
        callerLog.info("Request failed.", { { "request", callerId_ }, { "code", resultCodeEntry(failure.code()).name }, { "ran", ranName(failure.ran()) }, { "reason", failure.what() }, { "retry_after_ms", retryAfter }, { "connection", after == AfterRequest::KeepAlive ? "kept" : "closed" }, { "target", target_ }, { "configuration", snapshot ? snapshot->revision().number() : -1 }, { "store", tables_.storeUnavailableSince ? "away" : "followed" } });
    }

    const CallerLimits& limits() const { return tables_.callerLimits; }

    Beast::tcp_stream stream_;
    InstanceTables& tables_;
    RequestRunner& runner_;
    const CallerDialect& dialect_;
    RequestReader reader_;
    MemoryBudget::Reservation connectionMemory_;
    /// The parts of `connectionMemory_` for the capacity of the reader's buffer beyond the first read, and for the fields of a head.
    std::uint64_t bufferBytes_ { 0 };
    std::uint64_t fieldBytes_ { 0 };
    PendingInput pendingInput_ { PendingInput::LeaveUnread };
    std::string callerId_;
    std::string target_;
};

} // namespace

Task<void> serveRoutedCaller(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner, const CallerDialect& dialect)
{
    configureSocket(socket);
    limitSendBuffer(socket.native_handle());
    setUserTimeout(socket, slowReaderUserTimeout);
    try {
        const auto connection = runner.callerConnections().open();
        RoutedSession session(Beast::tcp_stream(std::move(socket)), tables, runner, dialect);
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
