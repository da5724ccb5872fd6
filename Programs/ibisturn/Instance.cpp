#include "Instance.h"

#include <LibHTTP/PeerServer.h>
#include <LibPlatform/LiveListClient.h>

#include <csignal>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log instanceLog("instance");
constexpr Duration timerGranularity = std::chrono::milliseconds(10);
constexpr Duration drainPoll = std::chrono::milliseconds(20);

Task<void> pause(Duration duration)
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint)
{
    return { context, Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port) };
}

std::string listeningOn(const Asio::ip::tcp::acceptor& acceptor)
{
    const auto local = acceptor.local_endpoint();
    return Endpoint { local.address().to_string(), local.port() }.toString();
}

std::unique_ptr<StoreClient> makeStore(const Settings& settings)
{
    auto store = StoreClientRegistry::instance().make(settings.storeKind, settings);
    if (!store)
        throw Error(ResultCode::SettingsInvalid, Ran::No, "There is no store client named " + settings.storeKind);
    return store;
}

Tracer::Destination makeSpanDestination(const Settings& settings)
{
    if (settings.traceCollector == "none")
        return nullptr;
    return writeSpansToStandardError;
}

} // namespace

Instance::Instance(const Settings& settings)
    : tables_(settings, makeSpanDestination(settings))
    , workers_(tables_.settings.workers)
    , store_(makeStore(tables_.settings))
    , control_(workers_.context(0), tables_, *store_)
    , operators_(tables_, *store_, control_.feed())
    , callersAcceptor_(listenOn(workers_.context(0), tables_.settings.callersListen))
    , peersAcceptor_(listenOn(workers_.context(0), tables_.settings.peersListen))
    , operatorsAcceptor_(listenOn(workers_.context(0), tables_.settings.operatorsListen))
{
    for (std::size_t index = 0; index < workers_.size(); ++index)
        runners_.push_back(std::make_unique<RequestRunner>(tables_));
}

void Instance::run()
{
    auto& context = workers_.context(0);
    control_.start();
    Asio::co_spawn(context, followLiveList(), Asio::detached);
    Asio::co_spawn(context, driveTimers(), Asio::detached);
    Asio::co_spawn(context, awaitShutdown(), Asio::detached);
    Asio::co_spawn(context, accept(callersAcceptor_, &Instance::serveCallerOn), Asio::detached);
    Asio::co_spawn(context, accept(peersAcceptor_, &Instance::servePeerOn), Asio::detached);
    Asio::co_spawn(context, accept(operatorsAcceptor_, &Instance::serveOperatorOn), Asio::detached);
    // With port 0 in the settings, these lines tell which ports were taken.
    instanceLog.info("Listening.", { { "instance", tables_.settings.identity.instance }, { "callers", listeningOn(callersAcceptor_) }, { "operators", listeningOn(operatorsAcceptor_) }, { "peers", listeningOn(peersAcceptor_) } });
    workers_.run();
}

Task<void> Instance::accept(Acceptor& acceptor, Serve serve)
{
    for (;;) {
        const auto worker = workers_.nextIndex();
        Asio::ip::tcp::socket socket(workers_.context(worker));
        boost::system::error_code error;
        co_await acceptor.async_accept(socket, Asio::redirect_error(Asio::use_awaitable, error));
        if (error == Asio::error::operation_aborted)
            co_return;
        if (error) {
            // Out of descriptors, for example: wait rather than spin.
            co_await pause(drainPoll);
            continue;
        }
        (this->*serve)(std::move(socket), worker);
    }
}

Task<void> Instance::followLiveList()
{
    for (;;) {
        try {
            MembershipView view = co_await fetchLiveList(tables_.settings.liveListEndpoint);
            control_.setLiveList(std::move(view));
        } catch (const std::exception& error) {
            instanceLog.debug("Live list not read.", { { "reason", error.what() } });
        }
        control_.refreshMembership();
        co_await pause(tables_.settings.liveListPoll);
    }
}

Task<void> Instance::driveTimers()
{
    for (;;) {
        timers_.advance(SteadyClock().now());
        co_await pause(timerGranularity);
    }
}

Task<void> Instance::awaitShutdown()
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::signal_set signals(executor, SIGTERM, SIGINT);
    co_await signals.async_wait(Asio::use_awaitable);
    instanceLog.info("Draining.", { { "requests", tables_.requestsUnderWay.load() } });
    tables_.isDraining = true;
    control_.leave();
    const auto deadline = SteadyClock().now() + tables_.settings.drainTimeout;
    while (tables_.requestsUnderWay > 0 && SteadyClock().now() < deadline)
        co_await pause(drainPoll);
    instanceLog.info("Stopped.", { { "requests", tables_.requestsUnderWay.load() } });
    workers_.stop();
}

void Instance::serveCallerOn(Asio::ip::tcp::socket socket, std::size_t worker)
{
    Asio::co_spawn(workers_.context(worker), serveCaller(std::move(socket), nullptr, tables_, *runners_.at(worker)), Asio::detached);
}

void Instance::servePeerOn(Asio::ip::tcp::socket socket, std::size_t worker)
{
    Asio::co_spawn(workers_.context(worker), servePeer(std::move(socket), tables_, *runners_.at(worker), control_), Asio::detached);
}

void Instance::serveOperatorOn(Asio::ip::tcp::socket socket, std::size_t /*worker*/)
{
    // The store's client belongs to the first worker, so its users run there.
    Asio::co_spawn(workers_.context(0), serveOperator(std::move(socket), operators_), Asio::detached);
}

} // namespace Ibisturn
