#include <LibKernel/Pause.h>
#include <Tests/Support/LoopbackThread.h>
#include <Tests/Support/RoutedInstance.h>

#include <algorithm>
#include <atomic>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Tcp = Asio::ip::tcp;

constexpr std::size_t bodyBytes = 3'000'000;

/// A backend server that reads a little of each request's body, pauses, and then reads the rest in small pieces.
class SlowReadingServer {
public:
    explicit SlowReadingServer(Duration pauseTime)
        : pauseTime_(pauseTime)
    {
        endpoint_ = thread_.listen([this](Tcp::socket socket) { Asio::co_spawn(thread_.context(), serve(std::move(socket)), Asio::detached); });
        thread_.start();
    }

    ~SlowReadingServer() { thread_.stop(); }
    SlowReadingServer(const SlowReadingServer&) = delete;
    SlowReadingServer& operator=(const SlowReadingServer&) = delete;

    const Endpoint& endpoint() const { return endpoint_; }
    std::size_t completeBodies() const { return completeBodies_; }

private:
    Task<void> serve(Tcp::socket socket)
    {
        constexpr std::size_t receiveBuffer = 16UL * 1024;
        socket.set_option(Asio::socket_base::receive_buffer_size(receiveBuffer));
        boost::system::error_code error;
        std::string received;
        auto missing = bodyBytes + co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
        missing -= std::min(missing, received.size());
        co_await pause(pauseTime_);
        std::array<char, receiveBuffer> piece {};
        while (missing > 0 && !error) {
            missing -= co_await socket.async_read_some(Asio::buffer(piece), Asio::redirect_error(Asio::use_awaitable, error));
            co_await pause(1ms);
        }
        if (error)
            co_return;
        ++completeBodies_;
        const std::string answer = "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Server-Seal: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        co_await Asio::async_write(socket, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
    }

    LoopbackThread thread_;
    Endpoint endpoint_;
    Duration pauseTime_;
    std::atomic<std::size_t> completeBodies_ { 0 };
};

} // namespace

// Guards against bodies that are cut because their server reads nothing for some seconds, and against ones that cost more memory than they reserve.
TEST(SlowBody, AServerThatReadsSlowlyReceivesWholeBodiesWithinTheReservedMemory)
{
    constexpr std::size_t requests = 8;
    SlowReadingServer server(4s);
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(200'000'000);
    settings.fleet->processDescriptors = 1024;
    RoutedInstance instance(settings, server.endpoint());
    Asio::io_context context;
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < requests; ++index) {
        auto& caller = callers.emplace_back(context);
        caller.connect(instance.callers());
        Asio::write(caller, Asio::buffer(RoutedInstance::requestHead(fmt::format("Connection: close\r\nContent-Length: {}\r\n", bodyBytes)) + std::string(bodyBytes, 'b')));
        EXPECT_LE(instance.tables().requestMemory.held(), costOfBody((index + 1) * bodyBytes));
    }
    for (auto& caller : callers) {
        std::string received;
        boost::system::error_code error;
        Asio::read(caller, Asio::dynamic_buffer(received), error);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    }
    EXPECT_EQ(server.completeBodies(), requests);
    const auto deadline = SteadyClock().now() + 1s;
    while (instance.tables().requestMemory.held() > ByteCount(0) && SteadyClock().now() < deadline)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(instance.tables().requestMemory.held(), ByteCount(0));
}

} // namespace Ibisturn::Testing
