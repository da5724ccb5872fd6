#include "StandInServer.h"

#include <thread>
#include <utility>

namespace Ibisturn::StandIns {

namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;
constexpr std::uint64_t bodyLimit = 64UL * 1024 * 1024;

void serveConnection(Asio::ip::tcp::socket socket, const Handler& handler)
{
    boost::system::error_code error;
    socket.set_option(Asio::ip::tcp::no_delay(true), error);
    boost::beast::flat_buffer buffer;
    while (socket.is_open()) {
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(bodyLimit);
        Http::read(socket, buffer, parser, error);
        if (error)
            return;
        Responder responder(socket);
        handler(parser.get(), responder);
    }
}

} // namespace

Responder::Responder(Asio::ip::tcp::socket& socket)
    : socket_(socket)
{
}

void Responder::send(unsigned status, const std::string& contentType, const std::string& body)
{
    Http::response<Http::string_body> response(static_cast<Http::status>(status), httpVersion11);
    response.set(Http::field::content_type, contentType);
    for (const auto& header : headers_)
        response.set(header.name, header.value);
    response.body() = body;
    response.prepare_payload();
    boost::system::error_code error;
    Http::write(socket_, response, error);
}

void Responder::beginChunked(const std::string& contentType)
{
    Http::response<Http::empty_body> response(Http::status::ok, httpVersion11);
    response.set(Http::field::content_type, contentType);
    for (const auto& header : headers_)
        response.set(header.name, header.value);
    response.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(response);
    boost::system::error_code error;
    Http::write_header(socket_, serializer, error);
}

bool Responder::sendChunk(std::string_view bytes)
{
    boost::system::error_code error;
    Asio::write(socket_, Http::make_chunk(Asio::buffer(bytes.data(), bytes.size())), error);
    return !error;
}

void Responder::endChunked()
{
    boost::system::error_code error;
    Asio::write(socket_, Http::make_chunk_last(), error);
}

void Responder::disconnect()
{
    boost::system::error_code error;
    socket_.close(error);
}

bool Responder::isDisconnected()
{
    boost::system::error_code error;
    char byte = 0;
    socket_.non_blocking(true);
    socket_.receive(Asio::buffer(&byte, 1), Asio::socket_base::message_peek, error);
    socket_.non_blocking(false);
    return error == Asio::error::eof || error == Asio::error::connection_reset;
}

StandInServer::StandInServer(const Endpoint& endpoint, Handler handler)
    : acceptor_(context_, Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port))
    , handler_(std::move(handler))
{
}

Endpoint StandInServer::endpoint() const
{
    const auto local = acceptor_.local_endpoint();
    return { local.address().to_string(), local.port() };
}

void StandInServer::run()
{
    for (;;) {
        auto socket = acceptor_.accept();
        std::thread(serveConnection, std::move(socket), std::cref(handler_)).detach();
    }
}

} // namespace Ibisturn::StandIns
