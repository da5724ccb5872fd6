#include <LibKernel/Asio.h>

#include <LibPlatform/StoreClient.h>
#include <Tests/Support/EndlessServer.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

} // namespace

// Guards against a watch that fails for good because the changes that it missed do not fit into a reply.
TEST(KeyValueStoreClient, WatchWhoseReplyExceedsTheLimitIsToBeListedAgain)
{
    Asio::io_context context(1);
    EndlessServer server(context, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4096, 'a') + "\r\n");
    Settings settings;
    settings.storeEndpoints = { server.endpoint() };
    const auto store = StoreClientRegistry::instance().require("store client", "platform", settings);
    std::exception_ptr failure;
    const auto onEnd = [&failure](const std::exception_ptr& error) { failure = error; };
    Asio::co_spawn(context, store->watch("/ibisturn/", Revision(1), 10s, [](const StoreChanges&) {}), onEnd);
    context.run();
    ASSERT_TRUE(failure);
    EXPECT_THROW(std::rethrow_exception(failure), HistoryCompacted);
    EXPECT_FALSE(server.isExhausted());
}

} // namespace Ibisturn::Testing
