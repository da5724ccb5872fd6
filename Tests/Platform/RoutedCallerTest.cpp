#include <LibKernel/Asio.h>

#include <LibCore/Digest.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Callers/RoutedSession.h>
#include <Tests/Support/EarlyAnswerServer.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/SlowServer.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId bookings("bookings");
const RegionId khomas("khomas");
const std::string host = "barn.example";

const WorkspaceId schools("schools");

Service bookingService()
{
    Service service;
    service.id = bookings;
    return service;
}

/// A configuration that has the service and no routes or workspaces.
SnapshotPointer configurationWithoutRoutes(Revision revision)
{
    return std::make_shared<const Snapshot>(revision, std::vector<Record> { { "services", "bookings", revision, bookingService() } });
}

SnapshotPointer configuration(Repeatability repeatability, AnswerForm form, const std::vector<RegionId>& homeRegions = {})
{
    Route route;
    route.id = RouteId("book");
    route.pathPrefix = "/book/";
    route.kind = BackendKind::Service;
    route.access = RouteAccess::OpenToAll;
    route.repeatability = repeatability;
    route.policy = RoutePolicy();
    route.policy->host = host;
    route.policy->form = form;
    route.policy->services = { { bookings, 1 } };
    route.policy->targetLatency = 1s;
    route.policy->maxAttempts = 2;
    route.policy->homeRegions = homeRegions;
    return std::make_shared<const Snapshot>(Revision(1), std::vector<Record> { { "services", "bookings", Revision(1), bookingService() }, { "routes", "book", Revision(1), route } });
}

/// A configuration whose route is used with the key "k" of a workspace that may run in `homeRegions` only.
SnapshotPointer configurationOfWorkspace(const std::vector<RegionId>& homeRegions)
{
    const Revision revision(1);
    Route route;
    route.id = RouteId("book");
    route.pathPrefix = "/book/";
    route.kind = BackendKind::Service;
    route.access = RouteAccess::Workspaces;
    route.policy = RoutePolicy();
    route.policy->host = host;
    route.policy->services = { { bookings, 1 } };
    route.policy->targetLatency = 1s;
    Workspace workspace;
    workspace.id = schools;
    workspace.scope = ResidencyScope::ByRule;
    workspace.residency = ResidencyRuleId("schools");
    const auto digest = digestOfKey("k");
    return std::make_shared<const Snapshot>(revision,
        std::vector<Record> { { "services", "bookings", revision, bookingService() }, { "routes", "book", revision, route }, { "workspaces", "schools", revision, workspace },
            { "residency", "schools", revision, ResidencyRule { workspace.residency, homeRegions } }, { "keys", digest.value(), revision, Key { digest, schools } } });
}

std::string requestHead(const std::string& headers, std::chrono::milliseconds timeout = 5s)
{
    return fmt::format("POST /book/1 HTTP/1.1\r\nHost: {}\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Deadline-Ms: {}\r\n{}\r\n", host, timeout.count(), headers);
}

const std::string request = requestHead("Connection: close\r\nContent-Length: 2\r\n") + "ok";

Settings settingsOfSmallInstance()
{
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(160'000'000);
    settings.fleet->processDescriptors = 4096;
    return settings;
}

/// Serves a caller's connection as an instance of a fleet does, in one event loop with the backend servers.
class RoutedCallerTest : public testing::Test {
protected:
    RoutedCallerTest()
        : tables_(settingsOfSmallInstance(), nullptr)
        , claims_(tables_.settings, store_, context_.get_executor())
        , runner_((tables_.backendDialect = backendDialect_.get(), tables_), claims_)
        , listener_(context_, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
    {
        configure(Repeatability::NonIdempotent, AnswerForm::Whole);
        Asio::co_spawn(context_, acceptCallers(), Asio::detached);
    }

    void configure(Repeatability repeatability, AnswerForm form) { tables_.configuration.set(configuration(repeatability, form)); }

    void setServers(const std::vector<Endpoint>& servers)
    {
        std::vector<BackendState> states;
        for (const auto& endpoint : servers) {
            BackendState state;
            state.server.id = BackendServerId(fmt::format("s{}", endpoint.port));
            state.server.service = bookings;
            state.server.endpoint = endpoint;
            state.server.region = khomas;
            state.server.slots = 8;
            states.push_back(state);
        }
        const auto snapshot = tables_.configuration.get();
        tables_.placement.with([&](PlacementTable& table) {
            table.setInstances(tables_.settings.identity.instance, { tables_.settings.identity.instance });
            table.setServers(states, *snapshot);
        });
    }

    /// Sends `first`, and `second` after `between`, and returns all that the instance sends until it closes the connection or sends
    /// nothing for a while.
    std::string exchange(std::string first, std::string second = {}, std::function<void()> between = nullptr)
    {
        std::string received;
        context_.restart();
        auto done = Asio::co_spawn(context_, call(std::move(first), std::move(second), std::move(between), received), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
        return received;
    }

    /// A caller that sends `part` and then neither sends nor reads until it is destroyed. Returns once the instance read the part.
    Asio::ip::tcp::socket startSending(const std::string& part)
    {
        Asio::ip::tcp::socket socket(context_);
        socket.connect(listener_.local_endpoint());
        socket.non_blocking(true);
        send(socket, part);
        return socket;
    }

    void send(Asio::ip::tcp::socket& socket, const std::string& part)
    {
        boost::system::error_code error;
        context_.restart();
        for (std::size_t sent = 0; sent < part.size() && (!error || error == Asio::error::would_block); context_.poll())
            sent += socket.write_some(Asio::buffer(part.data() + sent, part.size() - sent), error);
        context_.run_for(readingTime);
    }

    Asio::io_context context_ { 1 };
    std::unique_ptr<CallerDialect> callerDialect_ { CallerDialectRegistry::instance().require("caller dialect", "platform") };
    std::unique_ptr<BackendDialect> backendDialect_ { BackendDialectRegistry::instance().require("backend dialect", "platform") };
    InstanceTables tables_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;

private:
    /// How long an instance may take to read what has arrived; a later part of a request is sent after this time.
    static constexpr auto readingTime = std::chrono::milliseconds(50);
    /// An answer is taken for complete if nothing arrived for this long.
    static constexpr auto silence = 300ms;

    Task<void> acceptCallers()
    {
        for (;;) {
            auto socket = co_await listener_.async_accept(Asio::use_awaitable);
            Asio::co_spawn(context_, serveRoutedCaller(std::move(socket), tables_, runner_, *callerDialect_), Asio::detached);
        }
    }

    Task<void> call(std::string first, std::string second, std::function<void()> between, std::string& received)
    {
        boost::beast::tcp_stream stream(context_);
        const auto endpoint = listener_.local_endpoint();
        co_await stream.async_connect(endpoint, Asio::use_awaitable);
        boost::system::error_code error;
        co_await Asio::async_write(stream, Asio::buffer(first), Asio::redirect_error(Asio::use_awaitable, error));
        if (between) {
            Asio::steady_timer timer(context_, readingTime);
            co_await timer.async_wait(Asio::use_awaitable);
            between();
        }
        co_await Asio::async_write(stream, Asio::buffer(second), Asio::redirect_error(Asio::use_awaitable, error));
        std::array<char, 4096> part {};
        for (;;) {
            stream.expires_after(received.empty() ? Duration(10s) : Duration(silence));
            const auto size = co_await stream.async_read_some(Asio::buffer(part), Asio::redirect_error(Asio::use_awaitable, error));
            received.append(part.data(), size);
            if (error)
                co_return;
        }
    }

    Asio::ip::tcp::acceptor listener_;
};

/// What a replica sends of an answer, without the body's bytes after the head.
std::string answerHead(const std::string& headers)
{
    return "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Server-Seal: s\r\n" + headers + "\r\n";
}

bool isSuccess(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200");
}

} // namespace

TEST_F(RoutedCallerTest, RelaysAWholeAnswer)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    setServers({ server.endpoint() });
    const auto answer = exchange(request);
    EXPECT_TRUE(isSuccess(answer)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nok")) << answer;
}

// Guards against a directory that knows nothing of the requests that callers send, or that counts those which callers may not send.
TEST_F(RoutedCallerTest, ARequestCountsOnceForItsRoute)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    setServers({ server.endpoint() });
    const RouteId book("book");
    ASSERT_TRUE(isSuccess(exchange(request)));
    EXPECT_EQ(tables_.routeDemand.requests(SteadyClock().now(), book), 1U);
    // A request that no server can take is sent to this instance all the same.
    setServers({});
    EXPECT_TRUE(exchange(request).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(tables_.routeDemand.requests(SteadyClock().now(), book), 2U);
    tables_.configuration.set(configurationOfWorkspace({ khomas }));
    EXPECT_TRUE(exchange(request).starts_with("HTTP/1.1 401"));
    EXPECT_EQ(tables_.routeDemand.requests(SteadyClock().now(), book), 2U);
}

// Guards against an instance that relays a head which its backend server has not completed, as a success with a short body.
TEST_F(RoutedCallerTest, AnAnswerThatEndsWithinItsHeadIsNoSuccess)
{
    const std::vector<std::string> heads {
        answerHead("Content-Length: 2\r\n"),
        answerHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"),
        answerHead("Content-Type: text/event-stream\r\n"),
    };
    for (const auto repeatability : { Repeatability::NonIdempotent, Repeatability::Idempotent }) {
        configure(repeatability, AnswerForm::Whole);
        for (const auto& head : heads) {
            for (std::size_t size = 1; size < head.size(); ++size) {
                const auto part = head.substr(0, size);
                ScriptedServer first(context_, { part, part }, ScriptedServer::AfterAnswers::Close);
                ScriptedServer second(context_, { part, part }, ScriptedServer::AfterAnswers::Close);
                setServers({ first.endpoint(), second.endpoint() });
                const auto answer = exchange(request);
                EXPECT_FALSE(answer.empty()) << part;
                EXPECT_EQ(answer.find("HTTP/1.1 200"), std::string::npos) << part << "\n-> " << answer;
                EXPECT_EQ(answer.find("HTTP/1.1 503"), std::string::npos) << part << "\n-> " << answer;
            }
        }
    }
}

TEST_F(RoutedCallerTest, AnAnswerThatEndsWithinItsHeadOnAUsedConnectionIsNoSuccess)
{
    const auto whole = answerHead("Keep-Alive: timeout=30\r\nContent-Length: 2\r\n") + "ok";
    for (std::size_t size = 1; size < whole.size() - 2; ++size) {
        const auto part = whole.substr(0, size);
        ScriptedServer server(context_, { whole, part }, ScriptedServer::AfterAnswers::CloseAfterLast);
        setServers({ server.endpoint() });
        ASSERT_TRUE(isSuccess(exchange(request)));
        const auto answer = exchange(request);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << part << "\n-> " << answer;
        EXPECT_EQ(server.requests(), 2U) << part;
        EXPECT_EQ(server.connections(), 1U) << part;
    }
}

// Guards against streams that are cut although they only are slow, and against stalled ones that go on for ever since a byte comes now and then.
TEST_F(RoutedCallerTest, OnlyTheDeadlineEndsASlowStream)
{
    configure(Repeatability::NonIdempotent, AnswerForm::EventStream);
    const auto head = answerHead("Content-Type: text/event-stream\r\n");
    const std::string event = "id: 1\ndata: a\n\n";
    SlowServer sound(context_, head, event + "id: 2\ndata: b\n\n", 20ms);
    setServers({ sound.endpoint() });
    const auto whole = exchange(request);
    EXPECT_TRUE(isSuccess(whole)) << whole;
    EXPECT_TRUE(whole.ends_with("0\r\n\r\n")) << whole;

    SlowServer stalled(context_, head, event + std::string(1000, ':'), 20ms);
    setServers({ stalled.endpoint() });
    const auto cut = exchange(requestHead("Connection: close\r\nContent-Length: 0\r\n", 600ms));
    EXPECT_TRUE(isSuccess(cut)) << cut;
    EXPECT_FALSE(cut.ends_with("0\r\n\r\n")) << cut;
    // The server notices it with its next byte.
    const auto noticedBy = SteadyClock().now() + 2s;
    while (!stalled.isClosedByClient() && SteadyClock().now() < noticedBy)
        context_.run_one_for(20ms);
    EXPECT_TRUE(stalled.isClosedByClient());
}

// Guards against callers who fill the instance's memory with a chunk header, an extension or a trailer without end.
TEST_F(RoutedCallerTest, AChunkHeaderOrTrailerWithoutEndIsRefused)
{
    constexpr std::size_t length = 4UL * 1024 * 1024;
    for (const auto* start : { "", "2;", "2\r\nok\r\n", "2\r\nok\r\n0\r\n" }) {
        const auto answer = exchange(requestHead("Transfer-Encoding: chunked\r\n") + start + std::string(length, 'a'));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << start << "\n-> " << answer;
    }
}

// Guards against a request whose body is complete only when the instance stops: it was sent to a backend server and cut.
TEST_F(RoutedCallerTest, ABodyThatIsCompleteTooLateInAShutdownIsRefused)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    setServers({ server.endpoint() });
    const auto answer = exchange(requestHead("Content-Length: 2\r\n") + "o", "k", [this] {
        tables_.isDraining = true;
        tables_.isRefusing = true;
    });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_EQ(server.requests(), 0U);
}

// Callers with a cached answer of the directory still reach an instance that has begun to stop.
TEST_F(RoutedCallerTest, ABodyThatIsCompleteSoonAfterTheBeginOfAShutdownIsServed)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    setServers({ server.endpoint() });
    const auto answer = exchange(requestHead("Content-Length: 2\r\n") + "o", "k", [this] { tables_.isDraining = true; });
    EXPECT_TRUE(isSuccess(answer)) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
}

// Guards against an instance that opens a connection for each request, because it closes idle ones to servers that still serve.
TEST_F(RoutedCallerTest, IdleConnectionsAreKeptUntilTheirServerLeavesTheRegistry)
{
    const auto whole = answerHead("Keep-Alive: timeout=60\r\nContent-Length: 2\r\n") + "ok";
    ScriptedServer server(context_, { whole, whole, whole });
    setServers({ server.endpoint() });
    ASSERT_TRUE(isSuccess(exchange(request)));
    runner_.sweepIdleConnections(SteadyClock().now());
    ASSERT_TRUE(isSuccess(exchange(request)));
    EXPECT_EQ(server.connections(), 1U);
    EXPECT_EQ(server.closedByClient(), 0U);
    setServers({});
    runner_.sweepIdleConnections(SteadyClock().now());
    context_.run_for(50ms);
    EXPECT_EQ(server.closedByClient(), 1U);
}

// Guards against callers whose bodies together exceed the memory of the process, which is then killed.
TEST_F(RoutedCallerTest, BodiesForWhichThereIsNoMemoryAreRefusedWhileSmallOnesAreServed)
{
    constexpr std::size_t bodySize = 4'000'000;
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok", answerHead("Content-Length: 2\r\n") + "ok" });
    setServers({ server.endpoint() });
    const auto start = requestHead(fmt::format("Connection: close\r\nContent-Length: {}\r\n", bodySize)) + "p";
    const auto capacity = requestMemoryOf(tables_.settings)->count();
    std::vector<Asio::ip::tcp::socket> callers;
    while (tables_.requestMemory.held().count() + 2 * bodySize <= capacity - capacity / 8 && callers.size() < 100)
        callers.push_back(startSending(start));
    ASSERT_LT(callers.size(), 100U);
    const std::vector<std::string> refused {
        start,
        requestHead(fmt::format("Expect: 100-continue\r\nContent-Length: {}\r\n", bodySize)),
        requestHead("Transfer-Encoding: chunked\r\n") + fmt::format("{:x}\r\n", bodySize) + std::string(bodySize, 'p'),
    };
    for (const auto& large : refused) {
        const auto answer = exchange(large);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer.substr(0, 1000);
        EXPECT_NE(answer.find("memory_used_up"), std::string::npos) << answer.substr(0, 1000);
        EXPECT_NE(answer.find("\"ran\":\"no\""), std::string::npos) << answer.substr(0, 1000);
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer.substr(0, 1000);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer.substr(0, 1000);
    }
    EXPECT_TRUE(isSuccess(exchange(request)));
    callers.clear();
    context_.restart();
    context_.run_for(200ms);
    EXPECT_EQ(tables_.requestMemory.held(), ByteCount(0));
    EXPECT_TRUE(isSuccess(exchange(requestHead(fmt::format("Connection: close\r\nContent-Length: {}\r\n", bodySize)) + std::string(bodySize, 'p'))));
    EXPECT_EQ(server.requests(), 2U);
}

TEST_F(RoutedCallerTest, ASmallChunkedBodyHoldsNoMoreThanASmallRequestMay)
{
    ScriptedServer server(context_, { "-" });
    setServers({ server.endpoint() });
    auto caller = startSending(requestHead("Transfer-Encoding: chunked\r\n") + "2\r\no");
    EXPECT_LE(tables_.requestMemory.held(), MemoryBudget::smallReservation);
    send(caller, "k\r\n0\r\n\r\n");
    EXPECT_EQ(server.requests(), 1U);
    EXPECT_GT(tables_.requestMemory.held(), ByteCount(0));
    EXPECT_LE(tables_.requestMemory.held(), ByteCount(1024));
}

TEST_F(RoutedCallerTest, AChunkedBodyHoldsMemoryAsItGrows)
{
    constexpr std::size_t part = 500'000;
    auto caller = startSending(requestHead("Transfer-Encoding: chunked\r\n") + "3d0900\r\nok");
    const auto before = tables_.requestMemory.held();
    EXPECT_GT(before, ByteCount(0));
    EXPECT_LT(before, ByteCount(part));
    send(caller, std::string(part, 'p'));
    EXPECT_GE(tables_.requestMemory.held(), costOfBody(part));
    EXPECT_LE(tables_.requestMemory.held(), costOfBody(4 * part));
    caller.close();
    context_.restart();
    context_.run_for(200ms);
    EXPECT_EQ(tables_.requestMemory.held(), ByteCount(0));
}

// The route's home regions were lost with the route, and the request ran wherever its caller had connected.
TEST_F(RoutedCallerTest, ARequestWhoseRouteIsRemovedDoesNotRunOutsideItsHomeRegions)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    tables_.configuration.set(configuration(Repeatability::NonIdempotent, AnswerForm::Whole, { RegionId("omaheke") }));
    setServers({ server.endpoint() });
    const auto received = exchange(requestHead("Connection: close\r\nContent-Length: 2\r\n") + "o", "k", [this] { tables_.configuration.set(configurationWithoutRoutes(Revision(2))); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
    EXPECT_EQ(server.requests(), 0U);
}

TEST_F(RoutedCallerTest, ARequestWhoseWorkspaceIsRemovedDoesNotRunOutsideItsHomeRegions)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    tables_.configuration.set(configurationOfWorkspace({ RegionId("omaheke") }));
    setServers({ server.endpoint() });
    const auto received = exchange(requestHead("Authorization: Bearer k\r\nConnection: close\r\nContent-Length: 2\r\n") + "o", "k",
        [this] { tables_.configuration.set(configurationWithoutRoutes(Revision(2))); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
    EXPECT_EQ(server.requests(), 0U);
}

TEST_F(RoutedCallerTest, ARequestWhoseRouteIsRemovedRunsInItsHomeRegion)
{
    ScriptedServer server(context_, { answerHead("Content-Length: 2\r\n") + "ok" });
    tables_.configuration.set(configuration(Repeatability::NonIdempotent, AnswerForm::Whole, { khomas }));
    setServers({ server.endpoint() });
    const auto received = exchange(requestHead("Connection: close\r\nContent-Length: 2\r\n") + "o", "k", [this] { tables_.configuration.set(configurationWithoutRoutes(Revision(2))); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
}

// Guards against a caller who gets a part of an answer as the whole one, because its server was reset while the request was written.
TEST_F(RoutedCallerTest, AnAnswerWithoutLengthWhoseServerIsResetDuringTheUploadIsNotWhole)
{
    using Then = EarlyAnswerServer::Then;
    const std::vector<std::pair<AnswerForm, std::string>> answers {
        { AnswerForm::Whole, answerHead("") + "part" },
        { AnswerForm::EventStream, answerHead("Content-Type: text/event-stream\r\n") + "id: 1\ndata: a\n\n" },
    };
    const auto upload = requestHead(fmt::format("Content-Length: {}\r\n", EarlyAnswerServer::largeBody)) + std::string(EarlyAnswerServer::largeBody, 'p');
    for (const auto& [form, text] : answers) {
        configure(Repeatability::NonIdempotent, form);
        for (const auto then : { Then::Reset, Then::EndAndReset, Then::ReadAndReset }) {
            EarlyAnswerServer server(context_, text, then);
            setServers({ server.endpoint() });
            const auto answer = exchange(upload);
            EXPECT_FALSE(answer.empty()) << static_cast<int>(then) << text;
            EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << static_cast<int>(then) << text << "\n-> " << answer;
            EXPECT_EQ(server.requests(), 1U) << static_cast<int>(then) << text;
        }
    }
}

// Guards against a caller who gets bytes that are no answer of the protocol as one, and against a second run of a request on the word of
// such bytes.
TEST_F(RoutedCallerTest, AnAnswerWithAnInvalidStatusIsNeitherRelayedNorAProofThatTheRequestDidNotRun)
{
    for (const auto* status : { "000", "099", "100", "199", "600", "999" }) {
        for (const auto* header : { "", "X-Ibisturn-Not-Executed: 1\r\n" }) {
            const auto text = fmt::format("HTTP/1.1 {} Trouble\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Server-Seal: s\r\n{}Content-Length: 2\r\n\r\nok", status, header);
            ScriptedServer first(context_, { text, text });
            ScriptedServer second(context_, { text, text });
            setServers({ first.endpoint(), second.endpoint() });
            const auto answer = exchange(request);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << text << "\n-> " << answer;
            EXPECT_EQ(first.requests() + second.requests(), 1U) << text;
        }
    }
    EXPECT_NE(tables_.metrics.render().find("ibisturn_answers_invalid_total 12"), std::string::npos) << tables_.metrics.render();
}

} // namespace Ibisturn::Testing
