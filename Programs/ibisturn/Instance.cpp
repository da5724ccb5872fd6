#include "Instance.h"

#include <LibHTTP/Peers/PeerServer.h>
#include <LibKernel/Listen.h>
#include <LibKernel/Pause.h>
#include <LibKernel/SpawnDetached.h>
#include <LibPlatform/EngineLoadClient.h>
#include <LibPlatform/LiveListClient.h>

#include <csignal>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log instanceLog("instance");
constexpr Duration timerGranularity = std::chrono::milliseconds(10);
constexpr Duration certificatePoll = std::chrono::seconds(1);
constexpr Duration accessReviewPeriod = std::chrono::milliseconds(100);
constexpr Duration closingGrace = std::chrono::milliseconds(500);
constexpr Duration loadReportPeriod = std::chrono::milliseconds(500);
constexpr Duration admissionPeriod = std::chrono::milliseconds(50);
constexpr Duration idleSweepPeriod = std::chrono::seconds(1);
constexpr Duration drainPoll = std::chrono::milliseconds(20);
constexpr Duration claimDrainTimeout = std::chrono::seconds(3);

std::string localAddressOf(const Asio::ip::tcp::acceptor& acceptor)
{
    const auto local = acceptor.local_endpoint();
    return Endpoint { local.address().to_string(), local.port() }.toString();
}

} // namespace

Instance::Instance(const Settings& settings)
    : tables_(settings)
    , workers_(tables_.settings.workers)
    , store_(StoreClientRegistry::instance().require("store client", tables_.settings.storeKind, tables_.settings))
    , claims_(tables_.settings, *store_, workers_.context(0).get_executor())
    , controlPlane_(workers_.context(0), tables_, *store_)
    , operatorInterface_(tables_, *store_, controlPlane_.feed())
    , callersAcceptor_(listenOn(workers_.context(0), tables_.settings.callersListen))
    , peersAcceptor_(listenOn(workers_.context(0), tables_.settings.peersListen))
    , operatorsAcceptor_(listenOn(workers_.context(0), tables_.settings.operatorsListen))
    , shutdownSignals_(workers_.context(0), SIGTERM, SIGINT)
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
        runners_.push_back(std::make_unique<RequestRunner>(tables_, claims_));
    configureTracing();
    watchCertificate();
}

// Event loops destroy their coroutines last, and the spans of these must not reach a destroyed exporter.
Instance::~Instance()
{
    tables_.tracer.setDestination(nullptr);
}

void Instance::run()
{
    timers_.subscribe(SteadyClock().now(), loadReportPeriod, [this](TimePoint) { requestEngineLoads(); });
    timers_.subscribe(SteadyClock().now(), admissionPeriod, [this](TimePoint now) { tables_.admission.advance(now); });
    timers_.subscribe(SteadyClock().now(), accessReviewPeriod, [this](TimePoint) { reviewAccess(); });
    timers_.subscribe(SteadyClock().now(), idleSweepPeriod, [this](TimePoint now) { sweepIdleConnections(now); });
    auto& context = workers_.context(0);
    spawnDetached(context, claims_.runTimer(), "claims");
    controlPlane_.start();
    spawnDetached(context, followLiveList(), "live list");
    spawnDetached(context, driveTimers(), "timers");
    spawnDetached(context, awaitShutdown(), "shutdown");
    acceptOn(callersAcceptor_, &Instance::serveCallerOn);
    acceptOn(peersAcceptor_, &Instance::servePeerOn);
    acceptOn(operatorsAcceptor_, &Instance::serveOperatorOn);
    // With port 0 in the settings, the system chooses the ports, so they are logged.
    instanceLog.info("Listening.", { { "instance", tables_.settings.identity.instance }, { "callers", localAddressOf(callersAcceptor_) }, { "operators", localAddressOf(operatorsAcceptor_) }, { "peers", localAddressOf(peersAcceptor_) } });
    workers_.run();
}

void Instance::configureTracing()
{
    const auto& collector = tables_.settings.traceCollector;
    if (collector == "stderr")
        tables_.tracer.setDestination(writeSpansToStandardError);
    const auto endpoint = parseEndpoint(collector);
    if (!endpoint)
        return;
    spanExporter_ = std::make_unique<SpanExporter>(workers_.context(0), *endpoint);
    tables_.tracer.setDestination([this](std::string document) { spanExporter_->add(std::move(document)); });
}

void Instance::watchCertificate()
{
    if (!tables_.settings.callersTls)
        return;
    callersTls_ = std::make_unique<TlsIdentity>(*tables_.settings.callersTls);
    timers_.subscribe(SteadyClock().now(), certificatePoll, [this](TimePoint) { callersTls_->reloadIfChanged(); });
}

void Instance::acceptOn(Acceptor& acceptor, Serve serve)
{
    auto handle = [this, serve](Asio::ip::tcp::socket socket, std::size_t worker) { (this->*serve)(std::move(socket), worker); };
    spawnDetached(workers_.context(0), acceptConnections(acceptor, workers_, std::move(handle)), "accepting connections");
}

Task<void> Instance::followLiveList()
{
    for (;;) {
        try {
            MembershipView view = co_await fetchLiveList(tables_.settings.liveListEndpoint);
            controlPlane_.setLiveList(std::move(view));
        } catch (const std::exception& error) {
            instanceLog.debug("Live list not read.", { { "reason", error.what() } });
        }
        controlPlane_.refreshMembership();
        co_await pause(tables_.settings.liveListPoll);
    }
}

Task<void> Instance::driveTimers()
{
    for (;;) {
        try {
            timers_.advance(SteadyClock().now());
        } catch (const std::exception& error) {
            tables_.metrics.increment("ibisturn_timer_failures_total");
            instanceLog.error("A timer failed.", { { "reason", error.what() } });
        }
        co_await pause(timerGranularity);
    }
}

Task<void> Instance::awaitShutdown()
{
    co_await shutdownSignals_.async_wait(Asio::use_awaitable);
    instanceLog.info("Draining.", { { "requests", tables_.requestsInFlight.load() } });
    tables_.isDraining = true;
    closeIdleConnections();
    controlPlane_.leave();
    const auto deadline = SteadyClock().now() + tables_.settings.drainTimeout;
    while (tables_.requestsInFlight > 0 && SteadyClock().now() < deadline)
        co_await pause(drainPoll);
    tables_.isRefusing = true;
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
        Asio::post(workers_.context(worker), [this, worker] { runners_.at(worker)->cancelAllRequests(); });
    // Requests that arrived meanwhile are refused as not run instead of being aborted.
    closeIdleConnections();
    boost::system::error_code ignored;
    callersAcceptor_.close(ignored);
    peersAcceptor_.close(ignored);
    const auto closingDeadline = SteadyClock().now() + closingGrace;
    do
        co_await pause(drainPoll);
    while (tables_.requestsInFlight > 0 && SteadyClock().now() < closingDeadline);
    co_await claims_.drain(SteadyClock().now() + claimDrainTimeout);
    instanceLog.info("Stopped.", { { "requests", tables_.requestsInFlight.load() } });
    workers_.stop();
}

void Instance::requestEngineLoads()
{
    const auto snapshot = tables_.configuration.get();
    if (!snapshot)
        return;
    for (const auto& route : snapshot->routes()) {
        for (const auto& id : snapshot->backendServersOf(route.id)) {
            const auto* server = snapshot->findBackendServer(id);
            const bool isLocalEngine = server && server->kind == BackendKind::Engine && server->dataCentre == tables_.settings.identity.dataCentre;
            // An engine that serves several routes is queried once per round.
            if (isLocalEngine && server->routes.front() == route.id)
                spawnDetached(workers_.context(0), requestEngineLoad(id, server->endpoint), "engine load");
        }
    }
}

Task<void> Instance::requestEngineLoad(BackendServerId server, Endpoint endpoint)
{
    try {
        const EngineLoad load = co_await fetchEngineLoad(std::move(endpoint));
        const auto now = SteadyClock().now();
        tables_.admission.report(now, server, load.report);
        if (load.isDraining)
            tables_.health.recordLeaving(server, now);
    } catch (const std::exception& error) {
        instanceLog.debug("Load report not read.", { { "backend_server", server }, { "reason", error.what() } });
    }
}

void Instance::reviewAccess()
{
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
        Asio::post(workers_.context(worker), [this, worker] { runners_.at(worker)->reviewAccess(); });
}

void Instance::sweepIdleConnections(TimePoint now)
{
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
        Asio::post(workers_.context(worker), [this, worker, now] { runners_.at(worker)->sweepIdleConnections(now); });
}

void Instance::closeIdleConnections()
{
    for (std::size_t worker = 0; worker < workers_.size(); ++worker)
        Asio::post(workers_.context(worker), [this, worker] { runners_.at(worker)->idleConnections().close(); });
}

void Instance::serveCallerOn(Asio::ip::tcp::socket socket, std::size_t worker)
{
    const auto tls = callersTls_ ? callersTls_->context() : nullptr;
    spawnDetached(workers_.context(worker), serveCaller(std::move(socket), tls, tables_, *runners_.at(worker)), "caller session");
}

void Instance::servePeerOn(Asio::ip::tcp::socket socket, std::size_t worker)
{
    spawnDetached(workers_.context(worker), servePeer(std::move(socket), tables_, *runners_.at(worker), controlPlane_), "peer session");
}

void Instance::serveOperatorOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    // The store client belongs to the first worker, so operator sessions run there.
    spawnDetached(workers_.context(0), serveOperator(std::move(socket), operatorInterface_), "operator session");
}

} // namespace Ibisturn
