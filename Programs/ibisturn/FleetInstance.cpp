#include "FleetInstance.h"

#include <LibCore/SteadyClock.h>
#include <LibDecision/Requests/ShutdownSchedule.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/RoutedSession.h>
#include <LibHTTP/Operators/EntrySession.h>
#include <LibHTTP/Peers/PeerServer.h>
#include <LibKernel/Pause.h>
#include <LibKernel/SpawnDetached.h>

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
constexpr Duration idleSweepPeriod = std::chrono::seconds(1);
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
    , directoryConnections_(connectionBudgetOf(settings).directoryConnections())
    , callersAcceptor_(workers_.context(0))
    , peersAcceptor_(workers_.context(0))
    , readinessAcceptor_(workers_.context(0))
    , directoryAcceptor_(workers_.context(0))
    , metricsAcceptor_(workers_.context(0))
    , shutdownSignals_(workers_.context(0), SIGTERM, SIGINT)
    , reloadSignals_(workers_.context(0), SIGHUP)
{
    entrySource_.isReady = [this] { return controlPlane_.isReady(); };
    entrySource_.entries = [this](std::string_view host, const CallerLocation& caller) { return controlPlane_.entries(host, caller); };
    entrySource_.metrics = [this] {
        tables_.metrics.set("ibisturn_log_lines_dropped", static_cast<double>(droppedLogLines()));
        return tables_.metrics.render();
    };
    entrySource_.lifetime = settings.fleet->directoryLifetime;
}

int FleetInstance::run()
{
    auto& context = workers_.context(0);
    spawnDetached(context, awaitReloadSignal(), "reload signals");
    spawnDetached(context, awaitShutdown(), "shutdown");
    Asio::co_spawn(context, start(), [this](const std::exception_ptr& failure) { onStartEnded(failure); });
    workers_.run();
    return exitStatus_;
}

// Callers come last: the instance takes none before it can do everything that it is needed for.
std::vector<FleetInstance::Listener> FleetInstance::listeners()
{
    const auto& settings = tables_.settings;
    std::vector<Listener> listeners {
        { { "readiness", settings.fleet->readinessListen }, &readinessAcceptor_, &FleetInstance::serveEntriesOn },
        { { "directory", settings.fleet->directoryListen }, &directoryAcceptor_, &FleetInstance::serveDirectoryOn },
        { { "peers", settings.peersListen, ReceiveBuffer::System }, &peersAcceptor_, &FleetInstance::servePeerOn },
        { { "callers", settings.callersListen }, &callersAcceptor_, &FleetInstance::serveCallerOn },
    };
    return listeners;
}

Task<void> FleetInstance::open(Listener listener)
{
    ListenAddress address = listener.address;
    std::function<void()> onRetry = [this, metric = fmt::format("ibisturn_listen_retries_total{{listener=\"{}\"}}", address.listener)] { tables_.metrics.increment(metric); };
    co_await listenWhenFree(*listener.acceptor, std::move(address), std::move(onRetry));
    acceptOn(*listener.acceptor, listener.serve);
}

Task<void> FleetInstance::start()
{
    const auto& settings = tables_.settings;
    // Nobody who is served needs the metrics, so the start does not wait for their address.
    if (settings.fleet->metricsListen) {
        Listener metrics { { "metrics", *settings.fleet->metricsListen }, &metricsAcceptor_, &FleetInstance::serveEntriesOn };
        spawnDetached(workers_.context(0), open(std::move(metrics)), "metrics listener");
    }
    const auto all = listeners();
    for (const auto& listener : all) {
        Listener opening = listener;
        co_await open(std::move(opening));
    }
    auto& context = workers_.context(0);
    timers_.subscribe(SteadyClock().now(), controlPlanePeriod, [this](TimePoint now) { controlPlane_.tick(now); });
    timers_.subscribe(SteadyClock().now(), peerConnectionPeriod, [this](TimePoint) { runner_.keepPeersWarm(workers_.context(0).get_executor()); });
    timers_.subscribe(SteadyClock().now(), idleSweepPeriod, [this](TimePoint now) { runner_.sweepIdleConnections(now); });
    timers_.subscribe(SteadyClock().now(), settingsPoll, [this](TimePoint) { reloadIfChanged(); });
    isStarted_ = true;
    controlPlane_.start();
    spawnDetached(context, driveTimers(), "timers");
    instanceLog.info("Listening.", { { "instance", settings.identity.instance }, { "callers", settings.callersListen.toString() }, { "peers", settings.peersListen.toString() } });
    logAdjustments(settings);
}

void FleetInstance::onStartEnded(const std::exception_ptr& failure)
{
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        instanceLog.error("The instance cannot start.", { { "reason", error.what() } });
        exitStatus_ = 1;
        workers_.stop();
    }
}

void FleetInstance::acceptOn(Acceptor& acceptor, Serve serve)
{
    auto handle = [this, serve](Asio::ip::tcp::socket socket, std::size_t worker) { (this->*serve)(std::move(socket), worker); };
    spawnDetached(workers_.context(0), acceptConnections(acceptor, workers_, std::move(handle)), "accepting connections");
}

Task<void> FleetInstance::driveTimers()
{
    for (;;) {
        const auto now = SteadyClock().now();
        try {
            timers_.advance(now);
        } catch (const std::exception& error) {
            tables_.metrics.increment("ibisturn_timer_failures_total");
            instanceLog.error("A timer failed.", { { "reason", error.what() } });
        }
        const auto due = timers_.nextDue().value_or(now + controlPlanePeriod);
        co_await pause(std::max<Duration>(due - SteadyClock().now(), std::chrono::milliseconds(1)));
    }
}

Task<void> FleetInstance::awaitShutdown()
{
    const auto executor = co_await Asio::this_coro::executor;
    co_await shutdownSignals_.async_wait(Asio::use_awaitable);
    if (!isStarted_) {
        instanceLog.info("Stopped before all listeners were open.");
        workers_.stop();
        co_return;
    }
    const ShutdownSchedule schedule(SteadyClock().now(), tables_.settings.fleet->shutdownGracePeriod);
    instanceLog.info("Draining.", { { "requests", tables_.requestsInFlight.load() } });
    tables_.isDraining = true;
    runner_.idleConnections().close();
    // The store may answer late, and the times of the schedule do not wait for it.
    spawnDetached(executor, controlPlane_.leave(), "leaving");
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
    for (;;) {
        co_await reloadSignals_.async_wait(Asio::use_awaitable);
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
    spawnDetached(workers_.context(0), serveRoutedCaller(std::move(socket), tables_, runner_, *callerDialect_), "caller session");
}

void FleetInstance::servePeerOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    spawnDetached(workers_.context(0), servePeer(std::move(socket), tables_, runner_, controlPlane_), "peer session");
}

void FleetInstance::serveDirectoryOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    spawnDetached(workers_.context(0), serveEntries(std::move(socket), *entryDialect_, entrySource_, EntryLimits { directoryConnections_, tables_.connectionMemory }), "directory session");
}

void FleetInstance::serveEntriesOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    spawnDetached(workers_.context(0), serveEntries(std::move(socket), *entryDialect_, entrySource_), "entries session");
}

} // namespace Ibisturn
