#include <LibKernel/Asio.h>

#include <LibDecision/Requests/ServiceChoice.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Callers/RoutedSession.h>
#include <Tests/Support/LedgerReads.h>
#include <Tests/Support/LoopbackInstance.h>

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>

namespace Ibisturn::Testing {

namespace {

namespace Http = boost::beast::http;

using namespace std::chrono_literals;

const ServiceId model("model");
const ServiceId other("other");
const SoftwareVersion v1("1");
const std::vector<ServiceShare> shares { { model, 1 }, { other, 1 } };

SnapshotPointer configuration(ResumeSupport resume)
{
    Service service;
    service.id = model;
    Service second;
    second.id = other;
    Route route;
    route.id = RouteId("long");
    route.pathPrefix = "/long/";
    route.kind = BackendKind::Service;
    route.access = RouteAccess::OpenToAll;
    route.policy = RoutePolicy();
    route.policy->host = "barn.example";
    route.policy->form = AnswerForm::EventStream;
    route.policy->resume = resume;
    route.policy->services = shares;
    route.policy->targetLatency = 1s;
    route.policy->maxAttempts = 1;
    const Revision revision(1);
    return std::make_shared<const Snapshot>(revision, std::vector<Record> { { "services", "model", revision, service }, { "services", "other", revision, second }, { "routes", "long", revision, route } });
}

const StartTime registered(7);

/// A backend server that echoes the id of each request and answers with the rest of a stream, and says which process it is.
/// Thread safety: the thread of the event loop.
class StreamServer {
public:
    explicit StreamServer(Asio::io_context& context)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
    {
        Asio::co_spawn(context, acceptAll(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    /// Those for streams.
    const std::vector<Http::request<Http::string_body>>& requests() const { return requests_; }
    /// What it reports of itself from now on.
    void setReport(std::string report) { report_ = std::move(report); }

private:
    Task<void> acceptAll()
    {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(Asio::use_awaitable);
            Asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), Asio::detached);
        }
    }

    Task<void> serve(Asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        Http::request<Http::string_body> request;
        boost::system::error_code error;
        co_await Http::async_read(socket, buffer, request, Asio::redirect_error(Asio::use_awaitable, error));
        if (!error && request.target() == "/-/report") {
            const std::string report = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", report_.size(), report_);
            co_await Asio::async_write(socket, Asio::buffer(report), Asio::redirect_error(Asio::use_awaitable, error));
            request = {};
            co_await Http::async_read(socket, buffer, request, Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (error)
            co_return;
        const std::string answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Ibisturn-Request-Id: {}\r\nX-Ibisturn-Server-Seal: s\r\n\r\nid: 1\ndata: b\n\n", std::string(request["X-Ibisturn-Request-Id"]));
        requests_.push_back(std::move(request));
        co_await Asio::async_write(socket, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::vector<Http::request<Http::string_body>> requests_;
    std::string report_ { fmt::format(R"({{"born":{}}})", registered) };
};

/// Serves callers' connections as an instance of a fleet does. Its route has two services with a server each, and the ledger lists one
/// version of each.
class ResumedStreamTest : public testing::Test {
protected:
    ResumedStreamTest()
        : tables_(settingsIn("khomas"), nullptr)
        , claims_(tables_.settings, store_, context_.get_executor())
        , runner_((tables_.backendDialect = backendDialect_.get(), tables_), claims_)
        , listener_(context_, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , first_(context_)
        , second_(context_)
    {
        setRoute(ResumeSupport::Supported);
        Asio::co_spawn(context_, acceptCallers(), Asio::detached);
        Asio::co_spawn(context_, answerLedgerReads(tables_, { { model, { v1 } }, { other, { v1 } } }), Asio::detached);
    }

    void setRoute(ResumeSupport resume)
    {
        const auto snapshot = configuration(resume);
        tables_.configuration.set(snapshot);
        std::vector<BackendState> states;
        for (const auto& [service, endpoint] : { std::pair(model, first_.endpoint()), std::pair(other, second_.endpoint()) }) {
            BackendState state;
            state.server.id = BackendServerId(service.value());
            state.server.service = service;
            state.server.endpoint = endpoint;
            state.server.region = tables_.settings.identity.region;
            state.server.version = v1;
            state.server.started = registered;
            state.server.slots = 8;
            states.push_back(state);
        }
        tables_.placement.with([&](PlacementTable& table) {
            table.setInstances(tables_.settings.identity.instance, { tables_.settings.identity.instance });
            table.setListedVersions({ { model, { v1 } }, { other, { v1 } } });
            table.setServers(states, *snapshot);
        });
    }

    /// Sends a request with the id and headers on a connection of its own, and returns the answer.
    std::string call(const std::string& id, const std::string& headers)
    {
        std::string received;
        context_.restart();
        auto done = Asio::co_spawn(context_, exchange(fmt::format("POST /long/1 HTTP/1.1\r\nHost: barn.example\r\nX-Ibisturn-Request-Id: {}\r\nX-Ibisturn-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n{}\r\n", id, headers), received), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
        return received;
    }

    StreamServer& serverOf(const ServiceId& service) { return service == model ? first_ : second_; }

    Asio::io_context context_ { 1 };
    std::unique_ptr<CallerDialect> callerDialect_ { CallerDialectRegistry::instance().require("caller dialect", "platform") };
    std::unique_ptr<BackendDialect> backendDialect_ { BackendDialectRegistry::instance().require("backend dialect", "platform") };
    InstanceTables tables_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;

private:
    Task<void> acceptCallers()
    {
        for (;;) {
            auto socket = co_await listener_.async_accept(Asio::use_awaitable);
            Asio::co_spawn(context_, serveRoutedCaller(std::move(socket), tables_, runner_, *callerDialect_), Asio::detached);
        }
    }

    Task<void> exchange(std::string request, std::string& received)
    {
        Asio::ip::tcp::socket socket(context_);
        const auto endpoint = listener_.local_endpoint();
        co_await socket.async_connect(endpoint, Asio::use_awaitable);
        co_await Asio::async_write(socket, Asio::buffer(request), Asio::use_awaitable);
        boost::system::error_code error;
        co_await Asio::async_read(socket, Asio::dynamic_buffer(received), Asio::redirect_error(Asio::use_awaitable, error));
    }

    Asio::ip::tcp::acceptor listener_;

protected:
    StreamServer first_;
    StreamServer second_;
};

} // namespace

// Otherwise half of the resumptions on a route with two services would go to the service that did not begin the stream.
TEST_F(ResumedStreamTest, GoesToTheServiceOfTheAttemptThatItNames)
{
    for (int number = 0; number < 12; ++number) {
        const auto began = fmt::format("a{}", number);
        auto& server = serverOf(chooseService(shares, std::hash<std::string> {}(began)));
        const auto before = server.requests().size();
        const auto answer = call(fmt::format("b{}", number), fmt::format("Last-Event-Id: 0\r\nResumes: {}\r\n", began));
        EXPECT_NE(answer.find("id: 1"), std::string::npos) << answer;
        ASSERT_EQ(server.requests().size(), before + 1) << began;
        // The header goes on to the backend server as any other does.
        EXPECT_EQ(server.requests().back()["Resumes"], began);
        EXPECT_EQ(server.requests().back()["Last-Event-Id"], "0");
    }
    EXPECT_FALSE(first_.requests().empty());
    EXPECT_FALSE(second_.requests().empty());
}

// A request that names no attempt could be the rest of either service's stream.
TEST_F(ResumedStreamTest, IsRefusedAsNotRunIfItNamesNoAttempt)
{
    for (const auto& resumes : { std::string(), std::string("Resumes: \r\n"), "Resumes: " + std::string(257, 'a') + "\r\n" }) {
        const auto answer = call("b", "Last-Event-Id: 0\r\n" + resumes);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_NE(answer.find(R"("error":"stream_origin_unknown","number":3011,"ran":"no")"), std::string::npos) << answer;
    }
    EXPECT_TRUE(first_.requests().empty());
    EXPECT_TRUE(second_.requests().empty());
}

// A new stream needs no evidence and goes to the service of its own id.
TEST_F(ResumedStreamTest, WithoutAnEventItIsANewStream)
{
    for (int number = 0; number < 12; ++number) {
        const auto id = fmt::format("b{}", number);
        auto& server = serverOf(chooseService(shares, std::hash<std::string> {}(id)));
        const auto before = server.requests().size();
        EXPECT_NE(call(id, "Resumes: a\r\n").find("id: 1"), std::string::npos);
        EXPECT_EQ(server.requests().size(), before + 1) << id;
    }
}

// The rule is for routes whose streams may be resumed; others must not wait for evidence.
TEST_F(ResumedStreamTest, OnOtherRoutesTheEventIsPassedOn)
{
    setRoute(ResumeSupport::Unsupported);
    call("b", "Last-Event-Id: 0\r\nResumes: a\r\n");
    auto& server = serverOf(chooseService(shares, std::hash<std::string> {}("b")));
    ASSERT_EQ(server.requests().size(), 1U);
    EXPECT_EQ(server.requests().back()["Last-Event-Id"], "0");
}

// An instance that was out of step knows the server's former process. Another one of a new version may run under its id.
TEST_F(ResumedStreamTest, IsNotSentToAProcessThatTheRegistryDoesNotName)
{
    for (auto* server : { &first_, &second_ })
        server->setReport(R"({"born":8})");
    for (const auto* headers : { "Last-Event-Id: 0\r\nResumes: a\r\n", "" }) {
        const auto answer = call("b", headers);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_NE(answer.find(R"("ran":"no")"), std::string::npos) << answer;
    }
    EXPECT_TRUE(first_.requests().empty());
    EXPECT_TRUE(second_.requests().empty());
}

// Servers that are never cold need not say which process they are.
TEST_F(ResumedStreamTest, GoesOnAtAServerThatDoesNotSayWhichProcessItIs)
{
    for (auto* server : { &first_, &second_ })
        server->setReport("{}");
    EXPECT_NE(call("b", "Last-Event-Id: 0\r\nResumes: a\r\n").find("id: 1"), std::string::npos);
}

} // namespace Ibisturn::Testing
