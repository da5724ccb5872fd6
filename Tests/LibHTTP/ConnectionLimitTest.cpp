#include <LibHTTP/Operators/ConnectionLimit.h>

#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

// Guards against callers who use up the descriptors of an instance by connections to its directory.
TEST(ConnectionLimit, ANewConnectionIsRefusedUnlessAnIdleOneCanBeClosed)
{
    Asio::io_context context;
    ConnectionLimit limit(2);
    std::vector<ConnectionLimit::Scope> open;
    for (int count = 0; count < 2; ++count) {
        auto scope = limit.open();
        ASSERT_TRUE(scope);
        open.push_back(std::move(*scope));
    }
    EXPECT_FALSE(limit.open());
    Asio::ip::tcp::socket waiting(context, Asio::ip::tcp::v4());
    const IdleConnections::Scope idle(limit.idle(), waiting);
    EXPECT_TRUE(limit.open());
    open.pop_back();
    EXPECT_TRUE(limit.open());
}

} // namespace Ibisturn::Testing
