#pragma once

#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Callers/RoutedSession.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackThread.h>

#include <future>
#include <memory>
#include <string>

namespace Ibisturn::Testing {

/// An instance of a fleet with one worker that listens for callers in the platform's dialect and sends their requests to one backend
/// server. Thread safety: the creating thread.
class RoutedInstance {
public:
    static constexpr const char* host = "barn.example";

    RoutedInstance(const Settings& settings, const Endpoint& server, AnswerForm form = AnswerForm::Whole)
        : tables_(settings, nullptr)
        , claims_(tables_.settings, store_, worker_.context().get_executor())
        , runner_((tables_.backendDialect = backendDialect_.get(), tables_), claims_)
    {
        const ServiceId bookings("bookings");
        Service service;
        service.id = bookings;
        Route route;
        route.id = RouteId("book");
        route.pathPrefix = "/book/";
        route.kind = BackendKind::Service;
        route.access = RouteAccess::OpenToAll;
        route.policy = RoutePolicy();
        route.policy->host = host;
        route.policy->form = form;
        route.policy->services = { { bookings, 1 } };
        route.policy->targetLatency = std::chrono::seconds(60);
        const auto snapshot = std::make_shared<const Snapshot>(
            Revision(1), std::vector<Record> { { "services", "bookings", Revision(1), service }, { "routes", "book", Revision(1), route } });
        tables_.configuration.set(snapshot);
        BackendState state;
        state.server.id = BackendServerId("server");
        state.server.service = bookings;
        state.server.endpoint = server;
        state.server.region = tables_.settings.identity.region;
        state.server.slots = 1000;
        tables_.placement.with([&](PlacementTable& table) {
            table.setInstances(tables_.settings.identity.instance, { tables_.settings.identity.instance });
            table.setServers({ state }, *snapshot);
        });
        callers_ = worker_.listen([this](Asio::ip::tcp::socket socket) {
            Asio::co_spawn(worker_.context(), serveRoutedCaller(std::move(socket), tables_, runner_, *callerDialect_), Asio::detached);
        });
        worker_.start();
    }

    ~RoutedInstance() { worker_.stop(); }
    RoutedInstance(const RoutedInstance&) = delete;
    RoutedInstance& operator=(const RoutedInstance&) = delete;

    /// Where it listens for callers.
    Asio::ip::tcp::endpoint callers() const { return { Asio::ip::make_address(callers_.address), callers_.port }; }

    InstanceTables& tables() { return tables_; }

    /// Runs `action` on the instance's worker and waits for it.
    template <typename Action>
    auto onWorker(Action action)
    {
        return Asio::post(worker_.context(), std::packaged_task<decltype(action(runner_))()>([this, action] { return action(runner_); })).get();
    }

    /// The head of a request with the id "r1".
    static std::string requestHead(const std::string& headers, std::chrono::milliseconds timeout = std::chrono::seconds(30))
    {
        return fmt::format("POST /book/1 HTTP/1.1\r\nHost: {}\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Deadline-Ms: {}\r\n{}\r\n", host, timeout.count(), headers);
    }

private:
    std::unique_ptr<CallerDialect> callerDialect_ { CallerDialectRegistry::instance().require("caller dialect", "platform") };
    std::unique_ptr<BackendDialect> backendDialect_ { BackendDialectRegistry::instance().require("backend dialect", "platform") };
    InstanceTables tables_;
    LoopbackThread worker_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;
    Endpoint callers_;
};

} // namespace Ibisturn::Testing
