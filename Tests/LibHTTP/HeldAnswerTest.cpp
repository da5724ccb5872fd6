#include <Tests/Support/LoopbackThread.h>
#include <Tests/Support/RoutedInstance.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Tcp = Asio::ip::tcp;

constexpr std::size_t pieceBytes = 16UL * 1024;

/// A backend server that gives each request an answer of the same size, and cuts off one that stays unread for `patience`.
class ImpatientServer {
public:
    ImpatientServer(std::size_t answerBytes, Duration patience)
        : answerBytes_(answerBytes)
        , patience_(patience)
    {
        endpoint_ = thread_.listen([this](Tcp::socket socket) { Asio::co_spawn(thread_.context(), serve(std::move(socket)), Asio::detached); });
        thread_.start();
    }

    ~ImpatientServer() { thread_.stop(); }
    ImpatientServer(const ImpatientServer&) = delete;
    ImpatientServer& operator=(const ImpatientServer&) = delete;

    const Endpoint& endpoint() const { return endpoint_; }
    std::size_t answersSent() const { return answersSent_; }
    std::size_t answersCut() const { return answersCut_; }

private:
    Task<void> serve(Tcp::socket accepted)
    {
        boost::beast::tcp_stream stream(std::move(accepted));
        // What the kernel takes counts as read.
        stream.socket().set_option(Asio::socket_base::send_buffer_size(pieceBytes));
        boost::system::error_code error;
        std::string received;
        co_await Asio::async_read_until(stream, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
        std::string part = fmt::format(
            "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Server-Seal: s\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", answerBytes_);
        for (std::size_t sent = 0; !error; sent += pieceBytes) {
            stream.expires_after(patience_);
            co_await Asio::async_write(stream, Asio::buffer(part), Asio::redirect_error(Asio::use_awaitable, error));
            if (sent >= answerBytes_)
                break;
            part.assign(std::min(pieceBytes, answerBytes_ - sent), 'a');
        }
        ++(error ? answersCut_ : answersSent_);
        boost::system::error_code ignored;
        stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    LoopbackThread thread_;
    Endpoint endpoint_;
    std::size_t answerBytes_;
    Duration patience_;
    std::atomic<std::size_t> answersSent_ { 0 };
    std::atomic<std::size_t> answersCut_ { 0 };
};

Settings settingsWithMemory(std::uint64_t bytes)
{
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(bytes);
    settings.fleet->processDescriptors = 1024;
    return settings;
}

/// Sends a request without a body; little of its answer fits into the receive buffer.
Tcp::socket startRequest(Asio::io_context& context, const RoutedInstance& instance)
{
    Tcp::socket socket(context);
    socket.open(Tcp::v4());
    socket.set_option(Asio::socket_base::receive_buffer_size(pieceBytes));
    socket.connect(instance.callers());
    Asio::write(socket, Asio::buffer(RoutedInstance::requestHead("Connection: close\r\nContent-Length: 0\r\n")));
    return socket;
}

/// The number of body bytes that arrive until the connection ends.
std::size_t readBody(Tcp::socket& socket)
{
    const timeval timeout { 10, 0 };
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::string received;
    boost::system::error_code error;
    Asio::read(socket, Asio::dynamic_buffer(received), error);
    const auto headEnd = received.find("\r\n\r\n");
    return received.starts_with("HTTP/1.1 200") && headEnd != std::string::npos ? received.size() - headEnd - 4 : 0;
}

void awaitTrue(const std::function<bool()>& condition, Duration timeout)
{
    const auto deadline = SteadyClock().now() + timeout;
    while (!condition() && SteadyClock().now() < deadline)
        std::this_thread::sleep_for(5ms);
}

constexpr std::size_t slowCallers = 100;
constexpr std::size_t answerBytes = 500'000;

} // namespace

// Guards against answers that are cut since their server waits for callers who stop reading for some seconds.
TEST(HeldAnswer, AHundredCallersThatReadLateReceiveTheirAnswers)
{
    constexpr auto silence = 4s;
    ImpatientServer server(answerBytes, 2s);
    RoutedInstance instance(settingsWithMemory(256'000'000), server.endpoint());
    Asio::io_context context;
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < slowCallers; ++index)
        callers.push_back(startRequest(context, instance));
    awaitTrue([&server] { return server.answersSent() == slowCallers; }, 10s);
    EXPECT_EQ(server.answersSent(), slowCallers);
    std::this_thread::sleep_for(silence);
    EXPECT_GT(instance.tables().requestMemory.held().count(), slowCallers * answerBytes / 2);
    std::size_t complete = 0;
    for (auto& caller : callers)
        complete += readBody(caller) == answerBytes ? 1 : 0;
    EXPECT_EQ(complete, slowCallers);
    EXPECT_EQ(server.answersCut(), 0U);
    awaitTrue([&instance] { return instance.tables().requestMemory.held() == ByteCount(0); }, 1s);
    EXPECT_EQ(instance.tables().requestMemory.held(), ByteCount(0));
}

// Guards against slow callers who use up the memory of the instance, or because of whom others wait.
TEST(HeldAnswer, CallersThatDoNotReadCostOnlyThemselvesWhenMemoryRunsOut)
{
    constexpr int fastRequests = 40;
    ImpatientServer server(answerBytes, 20s);
    RoutedInstance instance(settingsWithMemory(40'000'000), server.endpoint());
    const auto capacity = requestMemoryOf(instance.tables().settings)->count();
    ASSERT_LT(capacity, slowCallers * answerBytes / 4);
    Asio::io_context context;
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < slowCallers; ++index)
        callers.push_back(startRequest(context, instance));
    auto slowest = Duration::zero();
    std::uint64_t maxHeld = 0;
    for (int index = 0; index < fastRequests; ++index) {
        const auto started = SteadyClock().now();
        auto caller = startRequest(context, instance);
        EXPECT_EQ(readBody(caller), answerBytes);
        slowest = std::max(slowest, SteadyClock().now() - started);
        maxHeld = std::max(maxHeld, instance.tables().requestMemory.held().count());
        std::this_thread::sleep_for(100ms);
    }
    // Were they to wait for those that do not read, they would wait until these time out.
    EXPECT_LT(slowest, 3s);
    EXPECT_LE(maxHeld, capacity);
    const auto metrics = instance.tables().metrics.render();
    EXPECT_NE(metrics.find("ibisturn_answers_given_up_total"), std::string::npos) << metrics;
    // Those for whom there was memory still receive everything.
    std::size_t complete = 0;
    for (auto& caller : callers)
        complete += readBody(caller) == answerBytes ? 1 : 0;
    EXPECT_GE(complete, capacity / 2 / answerBytes);
    EXPECT_LT(complete, slowCallers);
}

// A caller that disconnects leaves nothing behind of the answer that was held for it.
TEST(HeldAnswer, IsReleasedWhenItsCallerDisconnects)
{
    ImpatientServer server(answerBytes, 5s);
    RoutedInstance instance(settingsWithMemory(256'000'000), server.endpoint());
    Asio::io_context context;
    {
        auto caller = startRequest(context, instance);
        awaitTrue([&server] { return server.answersSent() == 1; }, 3s);
        EXPECT_EQ(server.answersSent(), 1U);
        // The instance may still be reading what the kernel took from the server.
        const auto isHeld = [&instance] { return instance.tables().requestMemory.held().count() > answerBytes / 2; };
        awaitTrue(isHeld, 1s);
        EXPECT_TRUE(isHeld());
    }
    awaitTrue([&instance] { return instance.tables().requestMemory.held() == ByteCount(0) && instance.tables().requestsInFlight == 0; }, 2s);
    EXPECT_EQ(instance.tables().requestMemory.held(), ByteCount(0));
    EXPECT_EQ(instance.tables().requestsInFlight, 0U);
}

} // namespace Ibisturn::Testing
