#include <LibKernel/Asio.h>

#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <Tests/Support/LedgerReads.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/RecordingSink.h>
#include <Tests/Support/ScriptedServer.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId model("model");
const ServiceId other("other");
const RegionId khomas("khomas");
const RegionId omaheke("omaheke");
const SoftwareVersion v1("1");
const SoftwareVersion v2("2");
const WorkspaceId schools("schools");
const WorkspaceId guides("guides");

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// A stream that breaks off within its second event, and one that does so before its first.
const std::string brokenStream = streamHead + "id: 0\ndata: a\n\nid: 1\nda";
const std::string emptyStream = streamHead + "id: 0\nda";
const std::string restOfStream = streamHead + "id: 1\ndata: b\n\ndata: [DONE]\n\n";
const std::string wholeStream = streamHead + "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n";
const std::string wholeBody = "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n";
const std::string restBody = "id: 1\ndata: b\n\ndata: [DONE]\n\n";

SnapshotPointer configuration(const std::vector<ServiceShare>& services = { { model, 1 } })
{
    Service service;
    service.id = model;
    Service second;
    second.id = other;
    Route route;
    route.id = RouteId("long");
    route.pathPrefix = "/";
    route.kind = BackendKind::Service;
    route.repeatability = Repeatability::Idempotent;
    route.policy = RoutePolicy();
    route.policy->form = AnswerForm::EventStream;
    route.policy->resume = ResumeSupport::Supported;
    route.policy->services = services;
    route.policy->maxAttempts = 3;
    const Revision revision(1);
    return std::make_shared<const Snapshot>(revision, std::vector<Record> { { "services", "model", revision, service }, { "services", "other", revision, second }, { "routes", "long", revision, route } });
}

struct VersionedServer {
    Endpoint endpoint;
    SoftwareVersion version;
    RegionId region { khomas };
    ServiceId service { model };
};

BackendServerId idOf(const Endpoint& endpoint) { return BackendServerId(fmt::format("s{}", endpoint.port)); }

void setServersOf(InstanceTables& tables, const std::vector<VersionedServer>& servers)
{
    std::vector<BackendState> states;
    for (const auto& server : servers) {
        BackendState state;
        state.server.id = idOf(server.endpoint);
        state.server.service = server.service;
        state.server.endpoint = server.endpoint;
        state.server.region = server.region;
        state.server.version = server.version;
        state.server.slots = 8;
        states.push_back(state);
    }
    const auto snapshot = tables.configuration.get();
    tables.placement.with([&](PlacementTable& table) {
        table.setInstances(tables.settings.identity.instance, { tables.settings.identity.instance });
        table.setListedVersions({ { model, { v1, v2, SoftwareVersion() } }, { other, { v1, v2 } } });
        table.setServers(states, *snapshot);
    });
}

/// Runs streams against backend servers on loopback, in one event loop.
class StreamVersionTest : public testing::Test {
protected:
    using Server = ScriptedServer;
    static constexpr auto closes = ScriptedServer::AfterAnswers::Close;

    StreamVersionTest()
        : tables_(settingsIn("khomas"), nullptr)
        , claims_(tables_.settings, store_, context_.get_executor())
        , runner_(tables_, claims_)
    {
        tables_.configuration.set(configuration());
    }

    void setServers(const std::vector<VersionedServer>& servers) { setServersOf(tables_, servers); }

    /// The store has these versions of the service, and is read when a resumption asks for a proof.
    void serveLedger(const std::set<SoftwareVersion>& versions)
    {
        Asio::co_spawn(context_, answerLedgerReads(tables_, { { model, versions } }), Asio::detached);
    }

    /// Other instances have put many requests on a server, so that new requests go to another one.
    void putLoadOn(const Endpoint& endpoint)
    {
        InstanceLoad load;
        load.server = idOf(endpoint);
        load.requests = 7;
        load.urgentBacklog = TokenCount(100'000);
        load.backlog = TokenCount(100'000);
        tables_.placement.with([&](PlacementTable& table) { table.setOtherLoads(SteadyClock().now(), { load }); });
    }

    static GatewayRequest newStream(const std::string& id)
    {
        GatewayRequest request;
        request.workspace = schools;
        request.method = "POST";
        request.target = "/long";
        request.deadline = SteadyClock().now() + 10s;
        request.callerDeadline = request.deadline;
        request.routed.emplace();
        request.routed->route = RouteId("long");
        request.routed->service = model;
        request.routed->callerId = id;
        request.routed->target = SteadyClock().now() + 1s;
        request.routed->resume = ResumeSupport::Supported;
        return request;
    }

    /// A request that goes on after the first event. Its deadline leaves 200 ms for the search for evidence.
    static GatewayRequest resumption(const std::string& id, std::optional<std::string> resumes)
    {
        auto request = newStream(id);
        request.deadline = SteadyClock().now() + 800ms;
        request.callerDeadline = request.deadline;
        request.resumeAfter = 0;
        request.routed->resumes = std::move(resumes);
        return request;
    }

    /// Runs a request to its end; its error, if any, is in failure_.
    void run(GatewayRequest request)
    {
        sink_ = {};
        failure_.reset();
        await(Asio::co_spawn(context_, runFromCaller(std::move(request)), Asio::use_future));
    }

    /// The same for a request that a peer forwards.
    void runFromPeer(const GatewayRequest& request)
    {
        ForwardMessage message;
        message.workspace = request.workspace.value();
        message.route = "long";
        message.method = request.method;
        message.target = request.target;
        message.timeoutMilliseconds = 5000;
        message.eventsReceived = request.resumeAfter ? *request.resumeAfter + 1 : 0;
        message.routed.push_back(makeRoutedMessage(*request.routed, SteadyClock().now()));
        sink_ = {};
        failure_.reset();
        await(Asio::co_spawn(context_, runForwarded(std::move(message)), Asio::use_future));
    }

    void await(std::future<void> done)
    {
        context_.restart();
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
    }

    void expectRefused(ResultCode code)
    {
        ASSERT_TRUE(failure_);
        EXPECT_EQ(failure_->code(), code);
        EXPECT_EQ(failure_->ran(), Ran::No);
        EXPECT_EQ(sink_.body, "");
    }

    std::optional<StreamOrigin> originOf(const std::string& attempt) const
    {
        return tables_.streamOrigins.find(SteadyClock().now(), streamKeyOf(schools, attempt));
    }

    bool hasMetric(const std::string& line) { return tables_.metrics.render().find(line) != std::string::npos; }

    Asio::io_context context_ { 1 };
    InstanceTables tables_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;
    RecordingSink sink_;
    std::optional<Error> failure_;

private:
    Task<void> runFromCaller(GatewayRequest request)
    {
        try {
            co_await runner_.runFromCaller(std::move(request), sink_);
        } catch (const Error& error) {
            failure_ = error;
        }
    }

    Task<void> runForwarded(ForwardMessage message)
    {
        try {
            co_await runner_.runFromPeer(std::move(message), std::make_shared<Cancellation>(), sink_);
        } catch (const Error& error) {
            failure_ = error;
        }
    }
};

} // namespace

// Otherwise the caller would get the rest of its stream from whichever server is best placed.
TEST_F(StreamVersionTest, AResumptionGoesToTheVersionThatBeganTheStream)
{
    Server first(context_, { wholeStream, restOfStream }, closes);
    Server second(context_, { wholeStream, restOfStream }, closes);
    setServers({ { first.endpoint(), v1 } });
    // The caller may lose the end of an answer that was relayed in full.
    run(newStream("r1"));
    ASSERT_EQ(sink_.body, wholeBody);
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    putLoadOn(first.endpoint());
    run(newStream("r2"));
    ASSERT_EQ(second.requests(), 1U) << "the other server is not better placed";
    run(resumption("r3", "r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, restBody);
    EXPECT_EQ(first.requests(), 2U);
    EXPECT_EQ(second.requests(), 1U);
    EXPECT_TRUE(hasMetric("ibisturn_stream_resumptions_total{evidence=\"note\"} 1"));
}

// A caller names the attempt of the first event in all its tries, also after several lost connections.
TEST_F(StreamVersionTest, AChainOfTriesStaysWithTheVersion)
{
    Server first(context_, { wholeStream, restOfStream, restOfStream }, closes);
    Server second(context_, std::vector<std::string>(2, restOfStream), closes);
    setServers({ { first.endpoint(), v1 } });
    run(newStream("r1"));
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    putLoadOn(first.endpoint());
    for (const auto* id : { "r2", "r3" }) {
        run(resumption(id, "r1"));
        EXPECT_FALSE(failure_) << id;
        EXPECT_EQ(sink_.body, restBody) << id;
        EXPECT_EQ(originOf("r1"), StreamOrigin({ model, v1 })) << id;
        EXPECT_FALSE(originOf(id)) << id;
    }
    EXPECT_EQ(first.requests(), 3U);
    EXPECT_EQ(second.requests(), 0U);
}

TEST_F(StreamVersionTest, AnUnknownOriginIsRefusedAsNotRun)
{
    Server server(context_, { wholeStream }, closes);
    setServers({ { server.endpoint(), v1 } });
    const auto started = SteadyClock().now();
    run(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamOriginUnknown);
    EXPECT_GE(SteadyClock().now() - started, 190ms);
    EXPECT_EQ(server.requests(), 0U);
    EXPECT_TRUE(hasMetric("ibisturn_stream_resumptions_refused_total{result=\"stream_origin_unknown\"} 1"));
}

// A caller that has gone must not keep its request waiting.
TEST_F(StreamVersionTest, TheSearchEndsWhenTheCallerDisconnects)
{
    auto request = resumption("r2", "r1");
    request.deadline = SteadyClock().now() + 60s;
    request.cancellation = std::make_shared<Cancellation>();
    Asio::post(context_, [cancellation = request.cancellation] { cancellation->cancel(CallerDisconnected {}); });
    const auto started = SteadyClock().now();
    run(std::move(request));
    expectRefused(ResultCode::CallerGone);
    EXPECT_LT(SteadyClock().now() - started, 500ms);
}

// Notes of another instance may arrive after the resumption.
TEST_F(StreamVersionTest, ANoteThatArrivesDuringTheSearchCounts)
{
    Server first(context_, { restOfStream }, closes);
    Server second(context_, { wholeStream }, closes);
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    putLoadOn(first.endpoint());
    Asio::steady_timer timer(context_, 100ms);
    timer.async_wait([this](boost::system::error_code) {
        tables_.streamOrigins.onNotes(SteadyClock().now(), { StreamNote { streamKeyOf(schools, "r1"), { model, v1 }, 1s } });
    });
    run(resumption("r2", "r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, restBody);
    EXPECT_EQ(second.requests(), 0U);
}

// After a kill of all instances nobody has notes. Any of two versions may have begun the stream.
TEST_F(StreamVersionTest, WithoutNotesAndWithTwoListedVersionsItIsRefused)
{
    Server first(context_, { restOfStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    serveLedger({ v1, v2 });
    for (const auto& resumes : std::vector<std::optional<std::string>> { "r1", "", std::nullopt }) {
        run(resumption("r2", resumes));
        expectRefused(ResultCode::StreamOriginUnknown);
    }
    EXPECT_EQ(first.requests() + second.requests(), 0U);
}

// With a single listed version, refusing would end streams for no reason.
TEST_F(StreamVersionTest, WithoutNotesAndWithOneListedVersionItGoesOn)
{
    Server first(context_, std::vector<std::string>(3, restOfStream), closes);
    Server second(context_, std::vector<std::string>(3, restOfStream), closes);
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    putLoadOn(first.endpoint());
    serveLedger({ v1 });
    run(resumption("r2", "r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, restBody);
    EXPECT_EQ(originOf("r1"), StreamOrigin({ model, v1 }));
    EXPECT_FALSE(originOf("r2"));
    // The same for callers that name no attempt, or none that can be one.
    for (const auto& resumes : std::vector<std::optional<std::string>> { "", std::nullopt }) {
        run(resumption("r3", resumes));
        EXPECT_FALSE(failure_);
        EXPECT_EQ(sink_.body, restBody);
    }
    EXPECT_EQ(originOf("r3"), StreamOrigin({ model, v1 }));
    EXPECT_EQ(first.requests(), 3U);
    EXPECT_EQ(second.requests(), 0U);
    EXPECT_TRUE(hasMetric("ibisturn_stream_resumptions_total{evidence=\"ledger\"} 3"));
}

// A version may have been listed, and may have begun streams, since an earlier read.
TEST_F(StreamVersionTest, ARecordReadBeforeTheResumptionArrivedProvesNothing)
{
    Server server(context_, { restOfStream }, closes);
    setServers({ { server.endpoint(), v1 } });
    const auto now = SteadyClock().now();
    tables_.versionLedger.requestProof(now);
    tables_.versionLedger.beginRead(now);
    completeLedgerRead(tables_, now, { { model, { v1 } } });
    run(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamOriginUnknown);
    EXPECT_EQ(server.requests(), 0U);
}

// The rest of a stream can't come from another version, even if no server of its own is left.
TEST_F(StreamVersionTest, IsRefusedIfNoServerOfTheVersionIsLeft)
{
    Server second(context_, { restOfStream }, closes);
    setServers({ { second.endpoint(), v2 } });
    tables_.streamOrigins.record(SteadyClock().now(), schools, "r1", { model, v1 });
    run(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamVersionGone);
    EXPECT_EQ(second.requests(), 0U);
    EXPECT_TRUE(hasMetric("ibisturn_stream_resumptions_refused_total{result=\"stream_version_gone\"} 1"));
}

// One workspace must not resume another one's stream, nor learn which version began it.
TEST_F(StreamVersionTest, TheIdOfAnotherWorkspaceIsUnknown)
{
    Server server(context_, { restOfStream }, closes);
    setServers({ { server.endpoint(), v1 } });
    tables_.streamOrigins.record(SteadyClock().now(), guides, "r1", { model, v1 });
    run(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamOriginUnknown);
    EXPECT_EQ(server.requests(), 0U);
}

// An id that callers use for two streams names neither of them.
TEST_F(StreamVersionTest, AnIdOfTwoStreamsOfDifferentVersionsIsUnknown)
{
    Server first(context_, { wholeStream, restOfStream }, closes);
    Server second(context_, { wholeStream, restOfStream }, closes);
    setServers({ { first.endpoint(), v1 } });
    run(newStream("r1"));
    setServers({ { second.endpoint(), v2 } });
    run(newStream("r1"));
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    run(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamOriginUnknown);
    EXPECT_EQ(first.requests() + second.requests(), 2U);
}

// Without the id of an event there is nothing to go on with, so a new stream needs no evidence.
TEST_F(StreamVersionTest, ResumesWithoutAnEventBeginsANewStream)
{
    Server second(context_, { wholeStream }, closes);
    setServers({ { second.endpoint(), v2 } });
    tables_.streamOrigins.record(SteadyClock().now(), schools, "r1", { model, v1 });
    auto request = newStream("r2");
    request.routed->resumes = "r1";
    run(std::move(request));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, wholeBody);
    EXPECT_EQ(originOf("r2"), StreamOrigin({ model, v2 }));
    EXPECT_EQ(originOf("r1"), StreamOrigin({ model, v1 }));
}

// The shares of the route's services may have changed since the stream began.
TEST_F(StreamVersionTest, GoesToTheServiceThatBeganTheStream)
{
    tables_.configuration.set(configuration({ { model, 1 }, { other, 0 } }));
    Server first(context_, { wholeStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), v1, khomas, model }, { second.endpoint(), v2, khomas, other } });
    tables_.streamOrigins.record(SteadyClock().now(), schools, "r1", { other, v2 });
    run(resumption("r2", "r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(second.requests(), 1U);
    EXPECT_EQ(first.requests(), 0U);
}

// Within one answer, the instance itself joins the parts.
TEST_F(StreamVersionTest, AnAnswerGoesOnOnlyAtTheSameVersion)
{
    Server first(context_, { brokenStream }, closes);
    Server second(context_, { restOfStream }, closes);
    Server third(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), v1 } });
    // The server that breaks off leaves. That of the other version is better placed.
    first.onRequest([&] {
        setServers({ { second.endpoint(), v2 }, { third.endpoint(), v1 } });
        putLoadOn(third.endpoint());
    });
    run(newStream("r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, wholeBody);
    EXPECT_EQ(second.requests(), 0U);
    EXPECT_EQ(third.requests(), 1U);
    EXPECT_TRUE(sink_.head.version.isEmpty()) << "the version must not reach the caller";
}

TEST_F(StreamVersionTest, AnAnswerIsCutIfNoServerOfItsVersionIsLeft)
{
    Server first(context_, { brokenStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), v1 } });
    first.onRequest([&] { setServers({ { second.endpoint(), v2 } }); });
    run(newStream("r1"));
    ASSERT_TRUE(failure_);
    EXPECT_EQ(failure_->ran(), Ran::Yes);
    EXPECT_EQ(sink_.body, "id: 0\ndata: a\n\n");
    EXPECT_FALSE(sink_.hasEnded);
    EXPECT_EQ(second.requests(), 0U);
}

// Cutting an answer of which the caller has no event would fail a request that another version can answer.
TEST_F(StreamVersionTest, AnAnswerWithoutEventsBeginsAgainAtAnotherVersion)
{
    Server first(context_, { emptyStream }, closes);
    Server second(context_, { wholeStream }, closes);
    setServers({ { first.endpoint(), v1 } });
    first.onRequest([&] { setServers({ { second.endpoint(), v2 } }); });
    run(newStream("r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, wholeBody);
    EXPECT_EQ(originOf("r1"), StreamOrigin({ model, v2 }));
}

// An entry without a version could belong to any.
TEST_F(StreamVersionTest, AnAnswerOfAnUnknownVersionIsCut)
{
    Server first(context_, { brokenStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), SoftwareVersion() } });
    first.onRequest([&] { setServers({ { second.endpoint(), SoftwareVersion() } }); });
    run(newStream("r1"));
    ASSERT_TRUE(failure_);
    EXPECT_EQ(sink_.body, "id: 0\ndata: a\n\n");
    EXPECT_EQ(second.requests(), 0U);
    EXPECT_FALSE(originOf("r1"));
}

// The entry of a server may change while the connection to it is made.
TEST_F(StreamVersionTest, IsNotSentToAServerWhoseVersionChanged)
{
    Server server(context_, { restOfStream }, closes);
    setServers({ { server.endpoint(), v1 } });
    tables_.streamOrigins.record(SteadyClock().now(), schools, "r1", { model, v1 });
    Asio::post(context_, [&] { Asio::post(context_, [&] { setServers({ { server.endpoint(), v2 } }); }); });
    run(resumption("r2", "r1"));
    ASSERT_TRUE(failure_);
    EXPECT_EQ(failure_->ran(), Ran::No);
    EXPECT_EQ(server.requests(), 0U);
}

// The receiver of a forwarded request knows nothing of the stream but what the request says.
TEST_F(StreamVersionTest, AForwardedRequestRunsOnlyAtTheRequiredVersion)
{
    Server first(context_, { restOfStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServers({ { first.endpoint(), v1 }, { second.endpoint(), v2 } });
    putLoadOn(first.endpoint());
    auto request = resumption("r2", "r1");
    request.routed->requiredVersion = v1;
    runFromPeer(request);
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, restBody);
    EXPECT_EQ(sink_.head.version, v1);
    EXPECT_EQ(second.requests(), 0U);
    request.routed->requiredVersion = SoftwareVersion("3");
    runFromPeer(request);
    expectRefused(ResultCode::StreamVersionGone);
    EXPECT_EQ(first.requests(), 1U);
    // The instance that the caller called notes the origin.
    EXPECT_FALSE(originOf("r1"));
}

// An instance of an older version of ibisturn resumes streams without a required version.
TEST_F(StreamVersionTest, AForwardedResumptionWithoutAVersionIsRefused)
{
    Server server(context_, { wholeStream }, closes);
    setServers({ { server.endpoint(), v1 } });
    runFromPeer(resumption("r2", "r1"));
    expectRefused(ResultCode::StreamOriginUnknown);
    EXPECT_EQ(server.requests(), 0U);
    // It may begin new ones.
    runFromPeer(newStream("r3"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.head.version, v1);
}

namespace {

/// Two instances in two regions; the second one has a server of each version.
class ForwardedStreamTest : public StreamVersionTest {
protected:
    ForwardedStreamTest()
        : peer_(settingsIn("omaheke"))
    {
        peer_.tables().configuration.set(configuration());
        auto membership = std::make_shared<MembershipView>();
        membership->instances.push_back(peer_.member());
        tables_.membership.set(membership);
    }

    /// Both instances know all servers.
    void setServersOfBoth(const std::vector<VersionedServer>& servers)
    {
        setServers(servers);
        setServersOf(peer_.tables(), servers);
    }

    LoopbackInstance peer_;
};

} // namespace

// The answer of another instance is bound to the version that it names.
TEST_F(ForwardedStreamTest, AForwardedAnswerIsNotedAndGoesOnAtItsVersionOnly)
{
    Server remote(context_, { brokenStream, brokenStream, brokenStream }, closes);
    Server local(context_, { restOfStream }, closes);
    setServersOfBoth({ { remote.endpoint(), v1, omaheke } });
    remote.onRequest([&] { setServersOfBoth({ { local.endpoint(), v2, khomas } }); });
    run(newStream("r1"));
    ASSERT_TRUE(failure_);
    EXPECT_EQ(sink_.body, "id: 0\ndata: a\n\n");
    EXPECT_EQ(local.requests(), 0U);
    EXPECT_EQ(originOf("r1"), StreamOrigin({ model, v1 }));
    EXPECT_TRUE(sink_.head.version.isEmpty()) << "the version must not reach the caller";
}

// The way from another region's server back to one of the own region, at the same version.
TEST_F(ForwardedStreamTest, AForwardedAnswerGoesOnAtAServerOfTheOwnRegion)
{
    Server remote(context_, { brokenStream }, closes);
    Server local(context_, { restOfStream }, closes);
    setServersOfBoth({ { remote.endpoint(), v1, omaheke } });
    remote.onRequest([&] { setServersOfBoth({ { local.endpoint(), v1, khomas } }); });
    run(newStream("r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, wholeBody);
    EXPECT_EQ(local.requests(), 1U);
}

TEST_F(ForwardedStreamTest, AForwardedResumptionGoesToTheVersionThatBeganTheStream)
{
    Server first(context_, { restOfStream }, closes);
    Server second(context_, { restOfStream }, closes);
    setServersOfBoth({ { first.endpoint(), v1, omaheke }, { second.endpoint(), v2, omaheke } });
    tables_.streamOrigins.record(SteadyClock().now(), schools, "r1", { model, v1 });
    // A new stream would go to the other one.
    InstanceLoad load;
    load.server = idOf(first.endpoint());
    load.requests = 7;
    load.backlog = TokenCount(100'000);
    peer_.tables().placement.with([&](PlacementTable& table) { table.setOtherLoads(SteadyClock().now(), { load }); });
    run(resumption("r2", "r1"));
    EXPECT_FALSE(failure_);
    EXPECT_EQ(sink_.body, restBody);
    EXPECT_EQ(first.requests(), 1U);
    EXPECT_EQ(second.requests(), 0U);
}

namespace {

/// Writes an answer's head to the sink of a request that requires version 1, at an instance with `hops` left. Returns the refusal, if any.
std::optional<Error> writeHeadOfVersion(const SoftwareVersion& version, HopsLeft hops, RecordingSink& relayed)
{
    RequestLimits limits;
    limits.deadline = TimePoint::max();
    limits.takeRetry = [](TimePoint) { return true; };
    RequestLifecycle lifecycle(limits);
    const auto now = SteadyClock().now();
    lifecycle.handle(HeadRead {}, now);
    lifecycle.handle(BodyRead { Repeatability::Idempotent }, now);
    lifecycle.handle(PlaceChosen { ForwardTo { InstanceId("peer") } }, now);
    lifecycle.handle(ConnectionReady { AttemptId(1) }, now);
    auto binding = StreamBinding::forVersion(v1);
    AttemptSink sink(relayed, lifecycle, 0, EventNumbering::Increasing);
    sink.bindStream(binding, hops, nullptr);
    sink.beginAttempt(AttemptId(1), ResumeNeed::AfterLastEvent);
    AnswerHead head;
    head.status = 200;
    head.resume = ResumeSupport::Supported;
    head.version = version;
    Asio::io_context context;
    auto done = Asio::co_spawn(context, sink.writeHead(head), Asio::use_future);
    context.run();
    try {
        done.get();
    } catch (const Error& error) {
        return error;
    }
    return std::nullopt;
}

} // namespace

// An instance of an older version of ibisturn does not heed the required version.
TEST(AttemptSink, RejectsAnAnswerOfAnotherOrNoVersion)
{
    for (const auto& version : { v2, SoftwareVersion() }) {
        RecordingSink relayed;
        const auto failure = writeHeadOfVersion(version, HopsLeft::One, relayed);
        ASSERT_TRUE(failure);
        EXPECT_EQ(failure->code(), ResultCode::AnswerCut);
        EXPECT_EQ(relayed.head.status, 0U);
    }
    RecordingSink relayed;
    EXPECT_FALSE(writeHeadOfVersion(v1, HopsLeft::One, relayed));
    EXPECT_EQ(relayed.head.status, 200U);
    EXPECT_TRUE(relayed.head.version.isEmpty());
    EXPECT_FALSE(writeHeadOfVersion(v1, HopsLeft::None, relayed));
    EXPECT_EQ(relayed.head.version, v1);
}

} // namespace Ibisturn::Testing
