#include <LibKernel/Asio.h>

#include <LibKernel/HttpClient.h>
#include <LibKernel/Listen.h>
#include <LibKernel/SocketOptions.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using Asio::ip::tcp;

/// Accepts one HTTP call and holds its connection.
class OutgoingCall {
public:
    OutgoingCall()
    {
        server_.async_accept(accepted_, [this](const boost::system::error_code& error) { wasAccepted_ = !error; });
        HttpCall call;
        call.method = "GET";
        call.endpoint = { "127.0.0.1", server_.local_endpoint().port() };
        call.target = "/";
        call.timeout = std::chrono::seconds(5);
        Asio::co_spawn(context_, exchangeHttp(std::move(call)), [this](const std::exception_ptr&, const HttpReply&) { isAnswered_ = true; });
        while (!wasAccepted_)
            context_.run_one();
        port_ = accepted_.remote_endpoint().port();
    }

    void answer()
    {
        Asio::write(accepted_, Asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
        while (!isAnswered_)
            context_.run_one();
        std::array<char, 1024> rest {};
        boost::system::error_code error;
        while (!error)
            accepted_.read_some(Asio::buffer(rest), error);
        accepted_.close();
    }

    bool canListenOnItsPort()
    {
        try {
            listenOn(context_, { "127.0.0.1", port_ });
            return true;
        } catch (const boost::system::system_error& error) {
            return error.code() != Asio::error::address_in_use;
        }
    }

private:
    Asio::io_context context_;
    tcp::acceptor server_ { listenOn(context_, { "127.0.0.1", 0 }) };
    tcp::socket accepted_ { context_ };
    bool wasAccepted_ { false };
    bool isAnswered_ { false };
    std::uint16_t port_ { 0 };
};

// The system may give a port to connections of several programs, so that a few of ours may have one that others hold.
constexpr int maxCalls = 50;

} // namespace

TEST(OutgoingPort, AnEstablishedConnectionDoesNotKeepAListenerFromItsLocalPort)
{
    bool canListen = false;
    for (int calls = 0; calls < maxCalls && !canListen; ++calls)
        canListen = OutgoingCall().canListenOnItsPort();
    EXPECT_TRUE(canListen);
}

TEST(OutgoingPort, AConnectionInTimeWaitDoesNotKeepAListenerFromItsLocalPort)
{
    bool canListen = false;
    for (int calls = 0; calls < maxCalls && !canListen; ++calls) {
        OutgoingCall call;
        call.answer();
        canListen = call.canListenOnItsPort();
    }
    EXPECT_TRUE(canListen);
}

// Guards against bytes that a connection keeps in the memory of the machine after its reader stopped.
TEST(ReceiveBuffer, HoldsABoundedNumberOfUnreadBytes)
{
    Asio::io_context context;
    tcp::acceptor listener(context);
    Asio::co_spawn(context, listenWhenFree(listener, { "test", { "127.0.0.1", 0 } }, [] {}), Asio::detached);
    context.run();
    tcp::socket client(context);
    client.connect(listener.local_endpoint());
    tcp::socket server = listener.accept();
    client.non_blocking(true);
    server.non_blocking(true);
    // The kernel enlarges the buffer of a reader that keeps up.
    constexpr std::size_t total = 16UL * 1024 * 1024;
    const std::string part(64UL * 1024, 'p');
    std::vector<char> received(part.size());
    boost::system::error_code error;
    for (std::size_t read = 0; read < total;) {
        client.write_some(Asio::buffer(part), error);
        read += server.read_some(Asio::buffer(received), error);
    }
    const auto fillUntil = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (std::chrono::steady_clock::now() < fillUntil)
        client.write_some(Asio::buffer(part), error);
    // Linux reserves twice the requested size, for its own administration too.
    EXPECT_LE(server.available(), 2UL * receiveBufferBytes);
}

} // namespace Ibisturn::Testing
