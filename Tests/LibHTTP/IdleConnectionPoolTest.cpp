#include <LibKernel/Asio.h>

#include <LibHTTP/Backends/IdleConnectionPool.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;
using Asio::ip::tcp;

class IdleConnectionPoolTest : public testing::Test {
protected:
    /// Keeps a new connection as one to the port of a backend server, and returns the server's end of it.
    tcp::socket keep(std::uint16_t port, TimePoint trustedUntil = {})
    {
        auto connection = std::make_unique<BackendConnection>(BackendConnection { boost::beast::tcp_stream(context_), {}, trustedUntil, true });
        connection->stream.socket().connect(acceptor_.local_endpoint());
        tcp::socket accepted(context_);
        acceptor_.accept(accepted);
        pool_.keep(now_, endpointOf(port), std::move(connection));
        return accepted;
    }

    BackendConnectionPointer take(std::uint16_t port, bool mustBeTrusted = false) { return pool_.take(now_, endpointOf(port), mustBeTrusted); }

    void runEvents()
    {
        context_.restart();
        context_.run_for(50ms);
    }

    static Endpoint endpointOf(std::uint16_t port) { return { "127.0.0.1", port }; }
    static bool isUsed(const Endpoint& /*endpoint*/) { return true; }

    Asio::io_context context_ { 1 };
    tcp::acceptor acceptor_ { context_, tcp::endpoint(Asio::ip::address_v4::loopback(), 0) };
    IdleConnectionPool pool_ { { 2, 3, 30s } };
    TimePoint now_ { 100s };
};

TEST_F(IdleConnectionPoolTest, ClosesAConnectionThatEndsOrReceivesBytes)
{
    auto ended = keep(1);
    auto talking = keep(2);
    const auto quiet = keep(3);
    ended.close();
    Asio::write(talking, Asio::buffer(std::string_view("x")));
    runEvents();
    EXPECT_EQ(pool_.size(), 1U);
    EXPECT_TRUE(take(3));
}

TEST_F(IdleConnectionPoolTest, NeverHandsOutAConnectionWhoseEndWasNotHandledYet)
{
    auto ended = keep(1);
    ended.close();
    EXPECT_FALSE(take(1));
    EXPECT_EQ(pool_.size(), 0U);
}

TEST_F(IdleConnectionPoolTest, DoesNotWatchAConnectionThatIsUsedAgain)
{
    auto server = keep(1);
    const auto connection = take(1);
    ASSERT_TRUE(connection);
    Asio::write(server, Asio::buffer(std::string_view("an answer")));
    runEvents();
    EXPECT_TRUE(connection->stream.socket().is_open());
    EXPECT_EQ(connection->stream.socket().available(), 9U);
}

TEST_F(IdleConnectionPoolTest, ClosesTheLongestIdleConnectionAtTheTotalLimit)
{
    const auto first = keep(1);
    const auto second = keep(2);
    const auto third = keep(3);
    const auto fourth = keep(4);
    EXPECT_EQ(pool_.size(), 3U);
    EXPECT_FALSE(take(1));
    EXPECT_TRUE(take(2));
    EXPECT_TRUE(take(4));
}

TEST_F(IdleConnectionPoolTest, KeepsNoMoreThanTheLimitOfABackendServer)
{
    const auto first = keep(1);
    const auto second = keep(1);
    const auto third = keep(1);
    EXPECT_EQ(pool_.size(), 2U);
}

TEST_F(IdleConnectionPoolTest, KeepsAConnectionForTheIdleTimeOrAsLongAsItsServerPromises)
{
    const auto plain = keep(1);
    const auto promised = keep(2, now_ + 60s);
    now_ += 29s;
    pool_.sweep(now_, isUsed);
    EXPECT_EQ(pool_.size(), 2U);
    now_ += 1s;
    pool_.sweep(now_, isUsed);
    EXPECT_EQ(pool_.size(), 1U);
    EXPECT_TRUE(take(2, true));
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionsToAddressesThatAreNoLongerUsed)
{
    const auto replaced = keep(1);
    const auto used = keep(2);
    pool_.sweep(now_, [](const Endpoint& endpoint) { return endpoint.port == 2; });
    EXPECT_EQ(pool_.size(), 1U);
    EXPECT_FALSE(take(1));
    EXPECT_TRUE(take(2));
}

TEST_F(IdleConnectionPoolTest, DropsConnectionsThatAreNotTrustedIfTheyMustBe)
{
    const auto trusted = keep(1, now_ + 1s);
    const auto untrusted = keep(1, now_);
    EXPECT_TRUE(take(1, true));
    EXPECT_EQ(pool_.size(), 0U);
}

} // namespace

} // namespace Ibisturn
