#pragma once

#include <LibCore/SteadyClock.h>
#include <LibCore/TimerService.h>
#include <LibHTTP/Callers/CallerSession.h>
#include <LibHTTP/Callers/TlsIdentity.h>
#include <LibHTTP/Operators/OperatorInterface.h>
#include <LibHTTP/Operators/SpanExporter.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <LibKernel/WorkerPool.h>

#include "ControlPlane.h"

#include <memory>
#include <vector>

namespace Ibisturn {

/// One running instance: listeners, workers and their shared state.
/// Thread safety: one thread, except where its members say otherwise.
class Instance {
public:
    /// Opens the listeners. Throws Error or boost::system::system_error; no listener is left open in that case.
    explicit Instance(const Settings& settings);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Serves until SIGTERM or SIGINT, then until the requests in flight are finished.
    void run();

private:
    using Acceptor = Asio::ip::tcp::acceptor;
    using Serve = void (Instance::*)(Asio::ip::tcp::socket, std::size_t);

    void configureTracing();
    void watchCertificate();
    void acceptOn(Acceptor& acceptor, Serve serve);
    Task<void> followLiveList();
    Task<void> driveTimers();
    Task<void> awaitShutdown();
    void requestEngineLoads();
    Task<void> requestEngineLoad(BackendServerId server, Endpoint endpoint);
    void reviewAccess();
    void sweepIdleConnections(TimePoint now);
    void closeIdleConnections();
    void serveCallerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void servePeerOn(Asio::ip::tcp::socket socket, std::size_t worker);
    void serveOperatorOn(Asio::ip::tcp::socket socket, std::size_t worker);

    InstanceTables tables_;
    WorkerPool workers_;
    TimerService timers_;
    std::unique_ptr<SpanExporter> spanExporter_;
    std::unique_ptr<TlsIdentity> callersTls_;
    std::unique_ptr<StoreClient> store_;
    ClaimService claims_;
    std::vector<std::unique_ptr<RequestRunner>> runners_;
    ControlPlane controlPlane_;
    OperatorInterface operatorInterface_;
    Acceptor callersAcceptor_;
    Acceptor peersAcceptor_;
    Acceptor operatorsAcceptor_;
    Asio::signal_set shutdownSignals_;
};

} // namespace Ibisturn
