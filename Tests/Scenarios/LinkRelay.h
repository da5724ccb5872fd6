#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Ibisturn::Scenarios {

/// A TCP relay that forwards connections to `target` and can be cut and restored, to simulate link failures.
/// Thread safety: all methods from any thread.
class LinkRelay {
public:
    explicit LinkRelay(Endpoint target);
    ~LinkRelay();
    LinkRelay(const LinkRelay&) = delete;
    LinkRelay& operator=(const LinkRelay&) = delete;

    /// The address that it listens on.
    Endpoint endpoint() const;

    /// Forwards new connections to another address, for example after the target was restarted.
    void setTarget(Endpoint target);

    /// Closes all connections and each new one until heal() is called.
    void cut();

    /// Forwards new connections again.
    void heal();

private:
    using Socket = Asio::ip::tcp::socket;
    using SocketPointer = std::shared_ptr<Socket>;

    Task<void> accept();
    Task<void> serve(SocketPointer callerSocket);
    static Task<void> relay(SocketPointer from, SocketPointer to);

    Asio::io_context context_ { 1 };
    Asio::ip::tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    Endpoint target_;
    bool isCut_ { false };
    std::vector<std::weak_ptr<Socket>> sockets_;
    std::thread thread_;
};

} // namespace Ibisturn::Scenarios
