#include <Tests/Support/LoopbackThread.h>
#include <Tests/Support/RoutedInstance.h>
#include <Tests/Support/ScriptedServer.h>

#include <memory>
#include <vector>

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Tcp = Asio::ip::tcp;

Settings settingsWith(std::uint32_t descriptors)
{
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(160'000'000);
    settings.fleet->processDescriptors = descriptors;
    return settings;
}

/// Lets this process open `count` descriptors for its lifetime.
class DescriptorLimit {
public:
    explicit DescriptorLimit(std::uint64_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        rlimit limit = before_;
        limit.rlim_cur = count;
        isSet_ = ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
    }

    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

    bool isSet() const { return isSet_; }

private:
    rlimit before_ {};
    bool isSet_ { false };
};

class CallerConnectionsTest : public testing::Test {
protected:
    static constexpr const char* answer = "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: r1\r\nX-Ibisturn-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok";

    CallerConnectionsTest() { serverThread_.start(); }
    ~CallerConnectionsTest() override { serverThread_.stop(); }

    Tcp::socket connect(const RoutedInstance& instance)
    {
        Tcp::socket socket(context_);
        socket.connect(instance.callers());
        return socket;
    }

    static void send(Tcp::socket& socket, const std::string& text)
    {
        boost::system::error_code ignored;
        Asio::write(socket, Asio::buffer(text), ignored);
    }

    /// All that arrives until the instance closes the connection or is silent for a while.
    static std::string receive(Tcp::socket& socket, Duration silence = 2s)
    {
        std::string received;
        std::array<char, 4096> part {};
        for (auto last = SteadyClock().now(); SteadyClock().now() - last < silence;) {
            boost::system::error_code error;
            socket.non_blocking(true);
            const auto size = socket.read_some(Asio::buffer(part), error);
            received.append(part.data(), size);
            if (error && error != Asio::error::would_block)
                return received;
            if (size > 0)
                last = SteadyClock().now();
            else
                std::this_thread::sleep_for(1ms);
        }
        return received;
    }

    static bool isClosed(Tcp::socket& socket)
    {
        return probeSocket(socket) == SocketState::Closed;
    }

    static ConnectionUsage usageOf(RoutedInstance& instance)
    {
        return instance.onWorker([](RequestRunner& runner) { return runner.callerConnections().usage(); });
    }

    static void awaitUsage(RoutedInstance& instance, const std::function<bool(const ConnectionUsage&)>& isReached)
    {
        const auto deadline = SteadyClock().now() + 5s;
        bool isDone = isReached(usageOf(instance));
        for (; !isDone && SteadyClock().now() < deadline; isDone = isReached(usageOf(instance)))
            std::this_thread::sleep_for(5ms);
        EXPECT_TRUE(isDone);
    }

    Asio::io_context context_ { 1 };
    LoopbackThread serverThread_;
    ScriptedServer server_ { serverThread_.context(), { answer, answer } };
    const std::string request_ = RoutedInstance::requestHead("Content-Length: 2\r\n") + "ok";
    /// Keeps its connection busy: the body is not complete.
    const std::string unfinished_ = RoutedInstance::requestHead("Content-Length: 2\r\n") + "o";
};

} // namespace

// Guards against callers who use up the descriptors: connections to backend servers, the store and peers then fail, and the lease is lost.
TEST_F(CallerConnectionsTest, IdleConnectionsLeaveDescriptorsForServersAndTheLease)
{
    constexpr std::uint32_t descriptors = 3075;
    constexpr std::size_t callerCount = 5000;
    constexpr std::size_t controlConnections = 60;
    // The callers' ends are in this process too.
    const DescriptorLimit limit(callerCount + descriptors - ConnectionBudget::fileDescriptors);
    ASSERT_TRUE(limit.isSet());
    RoutedInstance instance(settingsWith(descriptors), server_.endpoint());
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < callerCount; ++index)
        callers.push_back(connect(instance));
    send(callers.back(), request_);
    EXPECT_TRUE(receive(callers.back(), 500ms).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(server_.connections(), 1U);
    // The request needed a descriptor more.
    const auto open = ConnectionBudget(descriptors).callerDescriptors() - 1;
    awaitUsage(instance, [open](const ConnectionUsage& usage) { return usage.open == open; });

    std::vector<Tcp::socket> control;
    for (std::size_t index = 0; index < controlConnections; ++index) {
        boost::system::error_code error;
        control.emplace_back(context_).open(Tcp::v4(), error);
        ASSERT_FALSE(error) << index;
    }
    // Those that were idle longest were closed.
    for (std::size_t index = 0; index < callerCount; ++index)
        ASSERT_EQ(isClosed(callers[index]), index < callerCount - open) << index;
}

TEST_F(CallerConnectionsTest, ANewConnectionIsRefusedWithACompleteAnswerWhileNoneIsIdle)
{
    constexpr std::uint32_t descriptors = 1000;
    RoutedInstance instance(settingsWith(descriptors), server_.endpoint());
    const auto busyCount = (ConnectionBudget(descriptors).callerDescriptors() + 1) / 2;
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < busyCount; ++index) {
        callers.push_back(connect(instance));
        send(callers.back(), unfinished_);
    }
    awaitUsage(instance, [busyCount](const ConnectionUsage& usage) { return usage.busy == busyCount; });

    // More than are refused at the same time; each of them must receive a complete answer all the same.
    std::vector<Tcp::socket> refused;
    for (std::size_t index = 0; index < 2 * ConnectionBudget::maxRefusals; ++index) {
        refused.push_back(connect(instance));
        send(refused.back(), request_);
    }
    std::size_t named = 0;
    for (auto& socket : refused) {
        const auto received = receive(socket);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
        EXPECT_NE(received.find("connections_used_up"), std::string::npos) << received;
        EXPECT_NE(received.find("\"ran\":\"no\"}"), std::string::npos) << received;
        EXPECT_NE(received.find("Retry-After: "), std::string::npos) << received;
        EXPECT_NE(received.find("Connection: close"), std::string::npos) << received;
        named += received.find("X-Ibisturn-Request-Id: r1") != std::string::npos ? 1 : 0;
    }
    EXPECT_GE(named, ConnectionBudget::maxRefusals);
    EXPECT_EQ(server_.requests(), 0U);

    refused.clear();
    callers.pop_back();
    callers.pop_back();
    awaitUsage(instance, [busyCount](const ConnectionUsage& usage) { return usage.open == busyCount - 2; });
    auto accepted = connect(instance);
    send(accepted, request_);
    EXPECT_TRUE(receive(accepted, 500ms).starts_with("HTTP/1.1 200"));
}

// A caller that has sent a request must not lose it, and a connection whose request is on its way is not idle.
TEST_F(CallerConnectionsTest, ARequestClosesTheConnectionThatHasBeenIdleLongest)
{
    constexpr std::uint32_t descriptors = 1000;
    RoutedInstance instance(settingsWith(descriptors), server_.endpoint());
    const auto count = ConnectionBudget(descriptors).callerDescriptors();
    std::vector<Tcp::socket> callers;
    for (std::size_t index = 0; index < count; ++index)
        callers.push_back(connect(instance));
    awaitUsage(instance, [count](const ConnectionUsage& usage) { return usage.idle == count; });
    send(callers.front(), unfinished_);
    awaitUsage(instance, [count](const ConnectionUsage& usage) { return usage.busy == 1 && usage.open == count - 1; });
    EXPECT_FALSE(isClosed(callers.front()));
    EXPECT_TRUE(isClosed(callers[1]));
    EXPECT_FALSE(isClosed(callers[2]));
    send(callers.front(), "k");
    EXPECT_TRUE(receive(callers.front(), 500ms).starts_with("HTTP/1.1 200"));
}

} // namespace Ibisturn::Testing
