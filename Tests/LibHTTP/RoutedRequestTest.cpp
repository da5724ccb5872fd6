#include <LibKernel/Asio.h>

#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/RecordingSink.h>
#include <Tests/Support/ScriptedServer.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId bookings("bookings");
const RegionId khomas("khomas");

SnapshotPointer configuration(const std::vector<RegionId>& homeRegions = {}, Revision revision = Revision(1))
{
    Service service;
    service.id = bookings;
    Route route;
    route.id = RouteId("book");
    route.pathPrefix = "/";
    route.kind = BackendKind::Service;
    route.repeatability = Repeatability::Idempotent;
    route.policy = RoutePolicy();
    route.policy->services = { { bookings, 1 } };
    route.policy->maxAttempts = 3;
    route.policy->homeRegions = homeRegions;
    return std::make_shared<const Snapshot>(revision, std::vector<Record> { { "services", "bookings", revision, service }, { "routes", "book", revision, route } });
}

/// Runs requests on a route with a policy against backend servers on loopback, in one event loop.
class RoutedRequestTest : public testing::Test {
protected:
    RoutedRequestTest()
        : tables_(settingsIn("khomas"), nullptr)
        , claims_(tables_.settings, store_, context_.get_executor())
        , runner_(tables_, claims_)
    {
        tables_.configuration.set(configuration());
    }

    void setServers(const std::vector<Endpoint>& servers)
    {
        std::vector<BackendState> states;
        for (const auto& endpoint : servers) {
            BackendState state;
            state.server.id = BackendServerId(fmt::format("s{}", endpoint.port));
            state.server.service = bookings;
            state.server.endpoint = endpoint;
            state.server.region = khomas;
            // A stream is resumed only at the version that began it.
            state.server.version = SoftwareVersion("1");
            state.server.slots = 8;
            states.push_back(state);
        }
        const auto snapshot = tables_.configuration.get();
        tables_.placement.with([&](PlacementTable& table) {
            table.setInstances(tables_.settings.identity.instance, { tables_.settings.identity.instance });
            table.setListedVersions({ { bookings, { SoftwareVersion("1") } } });
            table.setServers(states, *snapshot);
        });
    }

    GatewayRequest makeRequest() const
    {
        GatewayRequest request;
        request.method = "POST";
        request.target = "/book";
        request.deadline = SteadyClock().now() + 10s;
        request.callerDeadline = request.deadline;
        request.routed.emplace();
        request.routed->route = RouteId("book");
        request.routed->service = bookings;
        request.routed->target = SteadyClock().now() + 1s;
        return request;
    }

    /// Starts a request; its error, if any, is in failure() once it has ended.
    void start(GatewayRequest request)
    {
        context_.restart();
        failure_.reset();
        done_ = Asio::co_spawn(context_, run(std::move(request)), Asio::use_future);
    }

    /// The same for a request that a peer forwards.
    void startFromPeer(ForwardMessage message)
    {
        context_.restart();
        failure_.reset();
        done_ = Asio::co_spawn(context_, runFromPeer(std::move(message)), Asio::use_future);
    }

    void await()
    {
        while (done_.wait_for(0s) != std::future_status::ready)
            context_.run_one();
    }

    const std::optional<Error>& failure() const { return failure_; }

    Asio::io_context context_ { 1 };
    InstanceTables tables_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;
    RecordingSink sink_;

private:
    Task<void> run(GatewayRequest request)
    {
        try {
            co_await runner_.runFromCaller(std::move(request), sink_);
        } catch (const Error& error) {
            failure_ = error;
        }
    }

    Task<void> runFromPeer(ForwardMessage message)
    {
        try {
            co_await runner_.runFromPeer(std::move(message), std::make_shared<Cancellation>(), sink_);
        } catch (const Error& error) {
            failure_ = error;
        }
    }

    std::future<void> done_;
    std::optional<Error> failure_;
};

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_F(RoutedRequestTest, IsNotSentToAServerThatLeftWhileTheConnectionWasMade)
{
    ScriptedServer leaving(context_, { completeAnswer });
    setServers({ leaving.endpoint() });
    start(makeRequest());
    // The request has chosen the server and waits for the connection.
    Asio::post(context_, [this] { setServers({}); });
    await();
    ASSERT_TRUE(failure());
    EXPECT_EQ(failure()->ran(), Ran::No);
    EXPECT_EQ(leaving.requests(), 0U);
}

TEST_F(RoutedRequestTest, GoesToAnotherServerIfTheChosenOneLeft)
{
    ScriptedServer leaving(context_, { completeAnswer });
    ScriptedServer staying(context_, { completeAnswer });
    setServers({ leaving.endpoint() });
    start(makeRequest());
    Asio::post(context_, [&] { setServers({ staying.endpoint() }); });
    await();
    EXPECT_FALSE(failure());
    EXPECT_EQ(sink_.body, "ok");
    EXPECT_EQ(leaving.requests(), 0U);
    EXPECT_EQ(staying.requests(), 1U);
}

// At the end of a drain, callers of requests that still run must receive an error instead of a closed connection.
TEST_F(RoutedRequestTest, CancellingAllRequestsEndsItWithAnError)
{
    ScriptedServer silent(context_, { "-" });
    silent.onRequest([this] { runner_.cancelAllRequests(); });
    setServers({ silent.endpoint() });
    start(makeRequest());
    await();
    ASSERT_TRUE(failure());
    EXPECT_EQ(failure()->code(), ResultCode::Draining);
    EXPECT_EQ(failure()->ran(), Ran::Unknown);
}

// A stream that has begun may only go on with events of the same stream.
TEST_F(RoutedRequestTest, ErrorOfTheNextServerDoesNotGetIntoAStreamThatHasBegun)
{
    const std::string begin = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\nid: 1\nda";
    const std::string error = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nfailed\n";
    const std::string plain = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nfailed\n";
    const std::string garbage = "failed\r\n\r\n";
    for (const auto& next : { error, plain, garbage, std::string() }) {
        ScriptedServer first(context_, { begin, begin }, ScriptedServer::AfterAnswers::Close);
        ScriptedServer second(context_, { next, next }, ScriptedServer::AfterAnswers::Close);
        setServers({ first.endpoint() });
        // The server that breaks off leaves, so that the other one is next.
        first.onRequest([&] { setServers({ second.endpoint() }); });
        sink_ = {};
        auto request = makeRequest();
        request.routed->resume = ResumeSupport::Supported;
        start(std::move(request));
        await();
        ASSERT_TRUE(failure()) << next;
        EXPECT_EQ(sink_.body, "id: 0\ndata: a\n\n") << next;
        EXPECT_FALSE(sink_.hasEnded) << next;
        EXPECT_GE(second.requests(), 1U) << next;
    }
}

TEST_F(RoutedRequestTest, PromptOnWhichServersCrashedIsRefusedBeforeItIsSent)
{
    ScriptedServer server(context_, { completeAnswer });
    setServers({ server.endpoint() });
    auto request = makeRequest();
    request.routed->prompt = { { 1, TokenCount(10) }, { 2, TokenCount(10) } };
    tables_.quarantine.onStored(SteadyClock().now(), { bookings, 1 });
    start(std::move(request));
    await();
    ASSERT_TRUE(failure());
    EXPECT_EQ(failure()->code(), ResultCode::PromptQuarantined);
    EXPECT_EQ(failure()->ran(), Ran::No);
    EXPECT_TRUE(failure()->retryAfter());
    EXPECT_EQ(server.requests(), 0U);
}

TEST_F(RoutedRequestTest, LostServersCountAgainstThePromptAndAnswersForIt)
{
    ScriptedServer first(context_, { "", completeAnswer });
    ScriptedServer second(context_, { "", completeAnswer });
    setServers({ first.endpoint(), second.endpoint() });
    auto request = makeRequest();
    request.routed->prompt = { { 1, TokenCount(10) }, { 2, TokenCount(10) }, { 3, TokenCount(10) } };
    start(request);
    await();
    // The request has lost two servers and is not sent to the third attempt that its route permits.
    ASSERT_TRUE(failure());
    EXPECT_EQ(failure()->ran(), Ran::Unknown);
    EXPECT_EQ(first.requests() + second.requests(), 2U);
    EXPECT_EQ(tables_.quarantine.ownEvidence(SteadyClock().now()).crashes.size(), 4U);
    std::this_thread::sleep_for(300ms);
    request.deadline = SteadyClock().now() + 10s;
    request.callerDeadline = request.deadline;
    request.routed->target = SteadyClock().now() + 1s;
    start(request);
    await();
    EXPECT_FALSE(failure());
    EXPECT_TRUE(tables_.quarantine.ownEvidence(SteadyClock().now()).crashes.empty());
}

TEST_F(RoutedRequestTest, RefusalByAServerIsNoEvidenceOfACrash)
{
    ScriptedServer server(context_, { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok" });
    setServers({ server.endpoint() });
    auto request = makeRequest();
    request.routed->prompt = { { 1, TokenCount(10) }, { 2, TokenCount(10) } };
    start(request);
    await();
    EXPECT_TRUE(tables_.quarantine.ownEvidence(SteadyClock().now()).crashes.empty());
}

// A configuration change must not end a running request on a route with a policy.
TEST_F(RoutedRequestTest, ReviewingAccessLeavesItRunning)
{
    ScriptedServer server(context_, { completeAnswer });
    server.onRequest([this] {
        tables_.configuration.set(std::make_shared<const Snapshot>(Revision(2), std::vector<Record>()));
        runner_.reviewAccess();
    });
    setServers({ server.endpoint() });
    start(makeRequest());
    await();
    EXPECT_FALSE(failure());
    EXPECT_EQ(sink_.body, "ok");
}

// A faulty backend server may send a body without end; the caller's deadline ends it, and the server is left at once.
TEST_F(RoutedRequestTest, AnEndlessBodyEndsAtTheDeadline)
{
    for (const auto* head : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
        EndlessServer server(context_, head, "8\r\nabcdefgh\r\n");
        setServers({ server.endpoint() });
        auto request = makeRequest();
        request.deadline = SteadyClock().now() + 200ms;
        request.callerDeadline = request.deadline;
        start(std::move(request));
        await();
        ASSERT_TRUE(failure()) << head;
        EXPECT_EQ(failure()->code(), ResultCode::DeadlineExceeded) << head;
        EXPECT_FALSE(sink_.hasEnded) << head;
        while (!server.isClosedByClient())
            context_.run_one();
    }
}

TEST_F(RoutedRequestTest, IsNotSentIfTheHomeRegionsChangedWhileTheConnectionWasMade)
{
    ScriptedServer server(context_, { completeAnswer });
    setServers({ server.endpoint() });
    start(makeRequest());
    Asio::post(context_, [this] { tables_.configuration.set(configuration({ RegionId("omaheke") }, Revision(2))); });
    await();
    ASSERT_TRUE(failure());
    EXPECT_EQ(failure()->ran(), Ran::No);
    EXPECT_EQ(server.requests(), 0U);
    EXPECT_NE(tables_.metrics.render().find("ibisturn_home_region_refusals_total 1"), std::string::npos);
}

// The receiver's own configuration may have no route for a forwarded request.
TEST_F(RoutedRequestTest, AForwardedRequestIsNotRunOutsideTheHomeRegionsOfItsSender)
{
    ScriptedServer server(context_, { completeAnswer, completeAnswer });
    setServers({ server.endpoint() });
    tables_.configuration.set(std::make_shared<const Snapshot>(Revision(2), std::vector<Record>()));
    for (const auto& region : { RegionId("omaheke"), khomas }) {
        auto request = makeRequest();
        request.routed->homeRegions = std::vector<RegionId> { region };
        ForwardMessage message;
        message.route = "book";
        message.method = request.method;
        message.target = request.target;
        message.timeoutMilliseconds = 5000;
        message.routed.push_back(makeRoutedMessage(*request.routed, SteadyClock().now()));
        startFromPeer(std::move(message));
        await();
        EXPECT_EQ(failure().has_value(), region != khomas);
    }
    EXPECT_EQ(server.requests(), 1U);
    // They are requests of the sender's callers, whom this instance's directory does not lead.
    EXPECT_EQ(tables_.routeDemand.size(), 0U);
}

// An instance of an older version does not tell the home regions, so only this instance's configuration can know them.
TEST_F(RoutedRequestTest, AForwardedRequestWithoutHomeRegionsIsNotRunWithoutItsRoute)
{
    ScriptedServer server(context_, { completeAnswer, completeAnswer });
    for (const bool isRouteKnown : { false, true }) {
        tables_.configuration.set(configuration());
        setServers({ server.endpoint() });
        ForwardMessage message;
        message.route = "book";
        message.method = "POST";
        message.target = "/book";
        message.timeoutMilliseconds = 5000;
        message.routed.push_back(makeRoutedMessage(*makeRequest().routed, SteadyClock().now()));
        message.routed.back().tellsHomeRegions = false;
        if (!isRouteKnown)
            tables_.configuration.set(std::make_shared<const Snapshot>(Revision(2), std::vector<Record>()));
        startFromPeer(std::move(message));
        await();
        EXPECT_EQ(failure().has_value(), !isRouteKnown);
        EXPECT_EQ(server.requests(), isRouteKnown ? 1U : 0U);
    }
}

} // namespace Ibisturn::Testing
