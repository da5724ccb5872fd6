#include <LibHTTP/Callers/IdleConnections.h>

#include <array>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using Tcp = Asio::ip::tcp;

/// A connection over loopback on which a caller sends `sent`, after which the first byte of a request is awaited.
class AwaitedConnection {
public:
    AwaitedConnection(Asio::io_context& context, IdleConnections& connections, const std::string& sent)
        : caller_(context)
        , instance_(context)
        , idle_(std::in_place, connections, instance_)
    {
        Tcp::acceptor acceptor(context, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0));
        caller_.connect(acceptor.local_endpoint());
        acceptor.accept(instance_);
        Asio::write(caller_, Asio::buffer(sent));
        if (!sent.empty())
            instance_.wait(Tcp::socket::wait_read);
        instance_.async_read_some(Asio::buffer(received_), [this](const boost::system::error_code& error, std::size_t count) {
            idle_.reset();
            error_ = error;
            count_ = count;
        });
    }

    bool isOpen() const { return instance_.is_open(); }
    const std::optional<boost::system::error_code>& error() const { return error_; }
    std::size_t count() const { return count_; }

private:
    Tcp::socket caller_;
    Tcp::socket instance_;
    std::optional<IdleConnections::Scope> idle_;
    std::array<char, 64> received_ {};
    std::optional<boost::system::error_code> error_;
    std::size_t count_ { 0 };
};

} // namespace

// Guards against a request that is lost in a shutdown: its first bytes have been read, and are no longer in the socket, but the coroutine
// that waits for them has not resumed yet.
TEST(IdleConnections, CloseSparesAConnectionWhoseFirstBytesHaveJustBeenRead)
{
    Asio::io_context context;
    IdleConnections connections;
    const AwaitedConnection connection(context, connections, "GET");
    connections.close();
    EXPECT_TRUE(connection.isOpen());
    context.run();
    ASSERT_TRUE(connection.error());
    EXPECT_FALSE(*connection.error());
    EXPECT_EQ(connection.count(), 3U);
    EXPECT_TRUE(connection.isOpen());
}

TEST(IdleConnections, CloseEndsTheWaitForAFirstByte)
{
    Asio::io_context context;
    IdleConnections connections;
    const AwaitedConnection connection(context, connections, "");
    context.poll();
    connections.close();
    context.run();
    EXPECT_EQ(connection.error(), Asio::error::operation_aborted);
}

// Guards against a request that is lost when its connection is closed to free a descriptor.
TEST(IdleConnections, CloseLongestIdleSparesAConnectionWhoseFirstBytesHaveJustBeenRead)
{
    Asio::io_context context;
    IdleConnections connections;
    const AwaitedConnection connection(context, connections, "GET");
    connections.closeLongestIdle();
    context.run();
    ASSERT_TRUE(connection.error());
    EXPECT_FALSE(*connection.error());
    EXPECT_EQ(connection.count(), 3U);
    EXPECT_TRUE(connection.isOpen());
}

TEST(IdleConnections, CloseLongestIdleEndsTheWaitOfOneConnectionEachTime)
{
    Asio::io_context context;
    IdleConnections connections;
    const AwaitedConnection first(context, connections, "");
    const AwaitedConnection second(context, connections, "");
    EXPECT_TRUE(connections.closeLongestIdle());
    EXPECT_EQ(connections.size(), 1U);
    context.poll();
    EXPECT_EQ(first.error(), Asio::error::operation_aborted);
    EXPECT_FALSE(second.error());
    EXPECT_TRUE(connections.closeLongestIdle());
    context.run();
    EXPECT_EQ(second.error(), Asio::error::operation_aborted);
    EXPECT_FALSE(connections.closeLongestIdle());
}

} // namespace Ibisturn::Testing
