#pragma once

#include <LibCore/TimerService.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Operators/EntryDialect.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <LibKernel/WorkerPool.h>

#include "FleetControlPlane.h"

#include <memory>

namespace Ibisturn {

/// One running instance of a fleet that is configured through a store whose layout is defined by another system.
/// Thread safety: one thread, except where its members say otherwise.
class FleetInstance {
public:
    /// Opens the listeners. The settings file is reloaded when it changes. Throws Error or boost::system::system_error; no
    /// listener is left open in that case.
    /// Precondition: the settings have a fleet.
    FleetInstance(const Settings& settings, std::string settingsFile);

    /// Serves until SIGTERM or SIGINT, then until the requests in flight are finished or the shutdown grace is nearly over.
    void run();

private:
    using Acceptor = Asio::ip::tcp::acceptor;
    using Serve = void (FleetInstance::*)(Asio::ip::tcp::socket, std::size_t);

    void acceptOn(Acceptor& acceptor, Serve serve);
    Task<void> driveTimers();
    Task<void> awaitShutdown();
    Task<void> awaitReloadSignal();
    void reloadIfChanged();
    void reload();
    void serveCallerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void servePeerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void serveEntriesOn(Asio::ip::tcp::socket socket, std::size_t worker);

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
    EntrySource entrySource_;
    Acceptor callersAcceptor_;
    Acceptor peersAcceptor_;
    Acceptor readinessAcceptor_;
    Acceptor directoryAcceptor_;
    std::optional<Acceptor> metricsAcceptor_;
};

} // namespace Ibisturn
