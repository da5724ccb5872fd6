#include "FleetInstance.h"

#include <LibCore/SteadyClock.h>
#include <LibDecision/Requests/ShutdownSchedule.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/RoutedSession.h>
#include <LibHTTP/Operators/EntrySession.h>
#include <LibHTTP/Peers/PeerServer.h>
#include <LibKernel/Listen.h>
#include <LibKernel/Pause.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log instanceLog("instance");
constexpr Duration controlPlanePeriod = std::chrono::milliseconds(50);
/// How often the settings file is checked for changes, so that a change is found without SIGHUP.
constexpr Duration settingsPoll = std::chrono::seconds(1);
/// How often the pools of connections to other regions are refilled.
constexpr Duration peerConnectionPeriod = std::chrono::milliseconds(300);
constexpr Duration drainPoll = std::chrono::milliseconds(20);
constexpr Duration closingGrace = std::chrono::milliseconds(300);

std::string readFile(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void logAdjustments(const Settings& settings)
{
    for (const auto& adjustment : settings.adjustments)
        instanceLog.warning("Setting adjusted.", { { "setting", adjustment } });
}

} // namespace

FleetInstance::FleetInstance(const Settings& settings, std::string settingsFile)
    : settingsFile_(std::move(settingsFile))
    , settingsText_(readFile(settingsFile_))
    , callerDialect_(CallerDialectRegistry::instance().require("caller dialect", settings.fleet->dialect))
    , backendDialect_(BackendDialectRegistry::instance().require("backend dialect", settings.fleet->dialect))
    , entryDialect_(EntryDialectRegistry::instance().require("entry dialect", settings.fleet->dialect))
    , documentReader_(DocumentReaderRegistry::instance().require("document reader", settings.fleet->dialect, settings))
    , store_(StoreClientRegistry::instance().require("store client", settings.storeKind, settings))
    , tables_(settings)
    , workers_(1)
    , claims_(tables_.settings, *store_, workers_.context(0).get_executor())
    , runner_((tables_.backendDialect = backendDialect_.get(), tables_), claims_)
    , controlPlane_(workers_.context(0), tables_, *store_, *documentReader_)
    , callersAcceptor_(listenOn(workers_.context(0), settings.callersListen))
    , peersAcceptor_(listenOn(workers_.context(0), settings.peersListen))
    , readinessAcceptor_(listenOn(workers_.context(0), settings.fleet->readinessListen))
    , directoryAcceptor_(listenOn(workers_.context(0), settings.fleet->directoryListen))
{
    if (settings.fleet->metricsListen)
        metricsAcceptor_.emplace(listenOn(workers_.context(0), *settings.fleet->metricsListen));
    entrySource_.isReady = [this] { return controlPlane_.isReady(); };
    entrySource_.entries = [this](std::string_view host, const CallerLocation& caller) { return controlPlane_.entries(host, caller); };
    entrySource_.metrics = [this] {
        tables_.metrics.set("ibisturn_log_lines_dropped", static_cast<double>(droppedLogLines()));
        return tables_.metrics.render();
    };
    entrySource_.lifetime = settings.fleet->directoryLifetime;
}

void FleetInstance::run()
{
    timers_.subscribe(SteadyClock().now(), controlPlanePeriod, [this](TimePoint now) { controlPlane_.tick(now); });
    timers_.subscribe(SteadyClock().now(), peerConnectionPeriod, [this](TimePoint) { runner_.keepPeersWarm(workers_.context(0).get_executor()); });
    timers_.subscribe(SteadyClock().now(), settingsPoll, [this](TimePoint) { reloadIfChanged(); });
    auto& context = workers_.context(0);
    controlPlane_.start();
    Asio::co_spawn(context, awaitReloadSignal(), Asio::detached);
    Asio::co_spawn(context, driveTimers(), Asio::detached);
    Asio::co_spawn(context, awaitShutdown(), Asio::detached);
    acceptOn(callersAcceptor_, &FleetInstance::serveCallerOn);
    acceptOn(peersAcceptor_, &FleetInstance::servePeerOn);
    acceptOn(readinessAcceptor_, &FleetInstance::serveEntriesOn);
    acceptOn(directoryAcceptor_, &FleetInstance::serveEntriesOn);
    if (metricsAcceptor_)
        acceptOn(*metricsAcceptor_, &FleetInstance::serveEntriesOn);
    instanceLog.info("Listening.", { { "instance", tables_.settings.identity.instance }, { "callers", tables_.settings.callersListen.toString() }, { "peers", tables_.settings.peersListen.toString() } });
    logAdjustments(tables_.settings);
    workers_.run();
}

void FleetInstance::acceptOn(Acceptor& acceptor, Serve serve)
{
    auto handle = [this, serve](Asio::ip::tcp::socket socket, std::size_t worker) { (this->*serve)(std::move(socket), worker); };
    Asio::co_spawn(workers_.context(0), acceptConnections(acceptor, workers_, std::move(handle)), Asio::detached);
}

Task<void> FleetInstance::driveTimers()
{
    for (;;) {
        const auto now = SteadyClock().now();
        timers_.advance(now);
        const auto due = timers_.nextDue().value_or(now + controlPlanePeriod);
        co_await pause(std::max<Duration>(due - SteadyClock().now(), std::chrono::milliseconds(1)));
    }
}

Task<void> FleetInstance::awaitShutdown()
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::signal_set signals(executor, SIGTERM, SIGINT);
    co_await signals.async_wait(Asio::use_awaitable);
    const ShutdownSchedule schedule(SteadyClock().now(), tables_.settings.fleet->shutdownGracePeriod);
    instanceLog.info("Draining.", { { "requests", tables_.requestsInFlight.load() } });
    tables_.isDraining = true;
    runner_.idleConnections().close();
    // The store may answer late, and the times of the schedule do not wait for it.
    Asio::co_spawn(executor, controlPlane_.leave(), Asio::detached);
    for (auto now = SteadyClock().now(); schedule.mustServe(now, tables_.requestsInFlight); now = SteadyClock().now()) {
        if (schedule.mustRefuse(now) && !tables_.isRefusing.exchange(true))
            instanceLog.info("Refusing further requests.", { { "requests", tables_.requestsInFlight.load() } });
        co_await pause(drainPoll);
    }
    instanceLog.info("Closing.", { { "requests", tables_.requestsInFlight.load() } });
    tables_.isRefusing = true;
    runner_.idleConnections().close();
    runner_.cancelAllRequests();
    boost::system::error_code ignored;
    callersAcceptor_.close(ignored);
    peersAcceptor_.close(ignored);
    const auto closingDeadline = SteadyClock().now() + closingGrace;
    do
        co_await pause(drainPoll);
    while (tables_.requestsInFlight > 0 && SteadyClock().now() < closingDeadline);
    instanceLog.info("Stopped.", { { "requests", tables_.requestsInFlight.load() } });
    workers_.stop();
}

Task<void> FleetInstance::awaitReloadSignal()
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::signal_set signals(executor, SIGHUP);
    for (;;) {
        co_await signals.async_wait(Asio::use_awaitable);
        reload();
    }
}

void FleetInstance::reloadIfChanged()
{
    if (readFile(settingsFile_) != settingsText_)
        reload();
}

// Changes of addresses and identity take effect only after a restart.
void FleetInstance::reload()
{
    auto text = readFile(settingsFile_);
    try {
        const auto settings = parseSettings(text, settingsFile_);
        settingsText_ = std::move(text);
        setLogLevel(settings.logLevel);
        if (settings.fleet) {
            controlPlane_.reload(*settings.fleet);
            entrySource_.lifetime = settings.fleet->directoryLifetime;
        }
        instanceLog.info("Settings reloaded.", { { "file", settingsFile_ } });
        logAdjustments(settings);
    } catch (const std::exception& error) {
        settingsText_ = std::move(text);
        instanceLog.error("Settings not reloaded.", { { "file", settingsFile_ }, { "reason", error.what() } });
    }
}

void FleetInstance::serveCallerOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    Asio::co_spawn(workers_.context(0), serveRoutedCaller(std::move(socket), tables_, runner_, *callerDialect_), Asio::detached);
}

void FleetInstance::servePeerOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    Asio::co_spawn(workers_.context(0), servePeer(std::move(socket), tables_, runner_, controlPlane_), Asio::detached);
}

void FleetInstance::serveEntriesOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    Asio::co_spawn(workers_.context(0), serveEntries(std::move(socket), *entryDialect_, entrySource_), Asio::detached);
}

} // namespace Ibisturn
