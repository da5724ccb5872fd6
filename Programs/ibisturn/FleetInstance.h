#pragma once

#include <LibCore/TimerService.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Operators/ConnectionLimit.h>
#include <LibHTTP/Operators/EntryDialect.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <LibKernel/Listen.h>
#include <LibKernel/WorkerPool.h>

#include "FleetControlPlane.h"

#include <memory>
#include <vector>

namespace Ibisturn {

/// One running instance of a fleet that is configured through a store whose layout is defined by another system.
/// Thread safety: one thread, except where its members say otherwise.
class FleetInstance {
public:
    /// Handles signals from here on. The settings file is reloaded when it changes. Throws Error.
    /// Precondition: the settings have a fleet.
    FleetInstance(const Settings& settings, std::string settingsFile);

    /// Opens the listeners and waits for addresses in use, then serves until SIGTERM or SIGINT, and until the requests in
    /// flight are finished or the shutdown grace is nearly over. Returns the exit status of the process: not 0 if a listener
    /// could not be opened.
    int run();

private:
    using Acceptor = Asio::ip::tcp::acceptor;
    using Serve = void (FleetInstance::*)(Asio::ip::tcp::socket, std::size_t);

    struct Listener {
        ListenAddress address;
        Acceptor* acceptor;
        Serve serve;
    };

    std::vector<Listener> listeners();
    Task<void> open(Listener listener);
    Task<void> start();
    void onStartEnded(const std::exception_ptr& failure);
    void acceptOn(Acceptor& acceptor, Serve serve);
    Task<void> driveTimers();
    Task<void> awaitShutdown();
    Task<void> awaitReloadSignal();
    void reloadIfChanged();
    void reload();
    void serveCallerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void servePeerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void serveEntriesOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void serveDirectoryOn(Asio::ip::tcp::socket socket, std::size_t worker);

    std::string settingsFile_;
    std::string settingsText_;
    std::unique_ptr<CallerDialect> callerDialect_;
    std::unique_ptr<BackendDialect> backendDialect_;
    std::unique_ptr<EntryDialect> entryDialect_;
    std::unique_ptr<DocumentReader> documentReader_;
    std::unique_ptr<StoreClient> store_;
    InstanceTables tables_;
    WorkerPool workers_;
    TimerService timers_;
    ClaimService claims_;
    RequestRunner runner_;
    FleetControlPlane controlPlane_;
    ConnectionLimit directoryConnections_;
    EntrySource entrySource_;
    Acceptor callersAcceptor_;
    Acceptor peersAcceptor_;
    Acceptor readinessAcceptor_;
    Acceptor directoryAcceptor_;
    Acceptor metricsAcceptor_;
    Asio::signal_set shutdownSignals_;
    Asio::signal_set reloadSignals_;
    bool isStarted_ { false };
    int exitStatus_ { 0 };
};

} // namespace Ibisturn
