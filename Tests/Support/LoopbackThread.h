#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <ctime>
#include <functional>
#include <pthread.h>
#include <thread>
#include <utility>

namespace Ibisturn::Testing {

/// An event loop on a separate thread, with listeners on free loopback ports.
/// Thread safety: the creating thread, unless stated otherwise.
class LoopbackThread {
public:
    using Serve = std::function<void(Asio::ip::tcp::socket)>;

    ~LoopbackThread() { stop(); }
    LoopbackThread() = default;
    LoopbackThread(const LoopbackThread&) = delete;
    LoopbackThread& operator=(const LoopbackThread&) = delete;

    /// The event loop. Thread safety: as documented by Asio.
    Asio::io_context& context() { return context_; }

    /// Listens on a free port and passes each connection to `serve`. Precondition: start() was not called.
    Endpoint listen(Serve serve)
    {
        Asio::ip::tcp::acceptor acceptor(context_, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
        Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
        Asio::co_spawn(context_, accept(std::move(acceptor), std::move(serve)), Asio::detached);
        return endpoint;
    }

    /// Starts the thread. Precondition: it was not called before.
    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    /// Stops the event loop and joins the thread. Idempotent.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    /// The CPU time that the thread has used. Precondition: the thread runs.
    Duration processorTime()
    {
        clockid_t clock {};
        timespec time {};
        pthread_getcpuclockid(thread_.native_handle(), &clock);
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

private:
    static Task<void> accept(Asio::ip::tcp::acceptor acceptor, Serve serve)
    {
        for (;;) {
            Asio::ip::tcp::socket socket = co_await acceptor.async_accept(Asio::use_awaitable);
            serve(std::move(socket));
        }
    }

    Asio::io_context context_ { 1 };
    std::thread thread_;
};

} // namespace Ibisturn::Testing
