#include <LibPeer/Hello.h>
#include <LibPeer/PeerConnection.h>
#include <Tests/Support/LoopbackInstance.h>

#include <thread>
#include <variant>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t bodySize = 4'000'000;

Settings settingsOfSmallInstance()
{
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(160'000'000);
    settings.fleet->processDescriptors = 4096;
    return settings;
}

/// Forwards a request with a body of this size, and then another one on the same connection; returns the codes of both failures.
Task<std::vector<FailureMessage>> forwardTwice(Endpoint peer, std::size_t size)
{
    auto connection = co_await PeerConnection::connect(peer, 2s, ByteCount(8'000'000));
    HelloMessage hello = makeHelloMessage(settingsIn("erongo").identity);
    co_await connection.handshake(std::move(hello), 2s);
    std::vector<FailureMessage> failures;
    for (const auto request : { RequestId(1), RequestId(2) }) {
        ForwardMessage forward;
        forward.method = "POST";
        forward.target = "/";
        forward.route = "none";
        forward.body = std::string(request == RequestId(1) ? size : 2, 'p');
        PeerMessage message(std::move(forward));
        co_await connection.write(request, std::move(message), 2s);
        const Frame answer = co_await connection.read(2s);
        EXPECT_EQ(answer.request, request);
        failures.push_back(std::get<FailureMessage>(answer.message));
    }
    co_return failures;
}

std::vector<FailureMessage> runForwardTwice(const Endpoint& peer, std::size_t size)
{
    Asio::io_context context;
    auto done = Asio::co_spawn(context, forwardTwice(peer, size), Asio::use_future);
    context.run();
    return done.get();
}

} // namespace

// Guards against forwarded bodies that together exceed the memory of the process, which is then killed.
TEST(PeerMemory, AForwardedBodyForWhichThereIsNoMemoryIsRefusedAsNotRun)
{
    LoopbackInstance instance(settingsOfSmallInstance());
    const auto memoryUsedUp = static_cast<std::uint16_t>(ResultCode::MemoryUsedUp);
    const auto notRun = static_cast<std::uint8_t>(Ran::No);
    {
        const auto capacity = requestMemoryOf(instance.tables().settings).value_or(ByteCount(0)).count();
        const auto held = instance.tables().requestMemory.reserve(ByteCount(capacity - capacity / 8));
        ASSERT_TRUE(held);
        const auto failures = runForwardTwice(instance.member().peers, bodySize);
        EXPECT_EQ(failures.at(0).code, memoryUsedUp);
        EXPECT_EQ(failures.at(0).ran, notRun);
        EXPECT_NE(failures.at(1).code, memoryUsedUp) << "a small request";
    }
    const auto failures = runForwardTwice(instance.member().peers, bodySize);
    EXPECT_NE(failures.at(0).code, memoryUsedUp);
    for (int count = 0; count < 100 && instance.tables().requestMemory.held() > ByteCount(0); ++count)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(instance.tables().requestMemory.held(), ByteCount(0));
}

} // namespace Ibisturn::Testing
