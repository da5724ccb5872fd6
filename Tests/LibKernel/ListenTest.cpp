#include <LibKernel/Asio.h>

#include <LibKernel/Listen.h>

#include <stdexcept>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

constexpr std::size_t connectionCount = 64;
constexpr std::size_t maxPasses = 8;

} // namespace

// Under load, one pass of the event loop serves many sockets. Callers that connect must not wait for one pass each.
TEST(Listen, AcceptsManyConnectionsInOnePassOfTheEventLoop)
{
    WorkerPool workers(1);
    auto& context = workers.context(0);
    auto acceptor = listenOn(context, { "127.0.0.1", 0 });
    std::vector<Asio::ip::tcp::socket> callers;
    for (std::size_t index = 0; index < connectionCount; ++index) {
        callers.emplace_back(context);
        callers.back().connect(acceptor.local_endpoint());
    }
    std::vector<Asio::ip::tcp::socket> accepted;
    Asio::co_spawn(context, acceptConnections(acceptor, workers, [&accepted](Asio::ip::tcp::socket socket, std::size_t /*worker*/) { accepted.push_back(std::move(socket)); }), Asio::detached);
    std::size_t passes = 0;
    std::function<void()> countPass = [&] {
        if (++passes < maxPasses)
            Asio::post(context, countPass);
    };
    Asio::post(context, countPass);
    while (passes < maxPasses)
        context.run_one();
    EXPECT_EQ(accepted.size(), connectionCount);
}

TEST(Listen, GoesOnAcceptingAfterAConnectionThatCouldNotBeServed)
{
    WorkerPool workers(1);
    auto& context = workers.context(0);
    auto acceptor = listenOn(context, { "127.0.0.1", 0 });
    std::size_t served = 0;
    const auto serve = [&served](const Asio::ip::tcp::socket& /*socket*/, std::size_t /*worker*/) {
        if (++served == 1)
            throw std::runtime_error("not served");
    };
    Asio::co_spawn(context, acceptConnections(acceptor, workers, serve), Asio::detached);
    Asio::ip::tcp::socket first(context);
    first.connect(acceptor.local_endpoint());
    Asio::ip::tcp::socket second(context);
    second.connect(acceptor.local_endpoint());
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(served, 2U);
}

} // namespace Ibisturn::Testing
