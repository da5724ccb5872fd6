#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn::Testing {

/// What arrived on a connection.
struct Received {
    std::string bytes;
    /// Whether the other side ended the connection.
    bool isEnded { false };

    /// The statuses of the answers. Precondition: no body contains the text of a status line.
    std::vector<int> statuses() const
    {
        constexpr std::string_view version = "HTTP/1.1 ";
        std::vector<int> list;
        for (auto found = bytes.find(version); found != std::string::npos; found = bytes.find(version, found + version.size()))
            list.push_back(std::stoi(bytes.substr(found + version.size(), 3)));
        return list;
    }
};

/// Sends `parts` in separate writes on a connection of its own, and reads until the other side ends the connection or sends nothing for
/// `silence`. Thread safety: any thread.
inline Received exchangeRaw(const Endpoint& endpoint, std::vector<std::string> parts, Duration silence = std::chrono::milliseconds(300))
{
    Asio::io_context context(1);
    boost::beast::tcp_stream stream(context);
    Received received;
    const auto exchange = [&]() -> Task<void> {
        co_await stream.async_connect(Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port), Asio::use_awaitable);
        boost::system::error_code error;
        stream.socket().set_option(Asio::ip::tcp::no_delay(true), error);
        for (const auto& part : parts)
            co_await Asio::async_write(stream, Asio::buffer(part), Asio::redirect_error(Asio::use_awaitable, error));
        std::array<char, 4096> part {};
        for (error = {}; !error;) {
            stream.expires_after(silence);
            const auto size = co_await stream.async_read_some(Asio::buffer(part), Asio::redirect_error(Asio::use_awaitable, error));
            received.bytes.append(part.data(), size);
        }
        received.isEnded = error != boost::beast::error::timeout;
    };
    Asio::co_spawn(context, exchange(), Asio::detached);
    context.run();
    return received;
}

} // namespace Ibisturn::Testing
