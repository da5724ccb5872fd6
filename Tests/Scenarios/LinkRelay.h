#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Ibisturn::Scenarios {

/// A TCP link that can be cut and healed: it passes bytes on to `target` while it is whole.
/// Thread safety: all methods from any thread.
class LinkRelay {
public:
    explicit LinkRelay(Endpoint target);
    ~LinkRelay();
    LinkRelay(const LinkRelay&) = delete;
    LinkRelay& operator=(const LinkRelay&) = delete;

    /// Where it listens.
    Endpoint endpoint() const;

    /// Sends new connections to another address, after a restart for example.
    void setTarget(Endpoint target);

    /// Closes every connection and refuses new ones.
    void cut();

    /// Passes new connections on again.
    void heal();

private:
    using Socket = Asio::ip::tcp::socket;
    using SocketPointer = std::shared_ptr<Socket>;

    Task<void> accept();
    Task<void> serve(SocketPointer near);
    static Task<void> pass(SocketPointer from, SocketPointer to);

    Asio::io_context context_ { 1 };
    Asio::ip::tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    Endpoint target_;
    bool isCut_ { false };
    std::vector<std::weak_ptr<Socket>> sockets_;
    std::thread thread_;
};

} // namespace Ibisturn::Scenarios
