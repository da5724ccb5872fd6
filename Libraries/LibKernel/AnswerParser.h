#pragma once

#include <LibKernel/MessageFraming.h>

#include <boost/beast/http/parser.hpp>

namespace Ibisturn {

/// Parses an answer to a request that is not HEAD. A head that does not tell where the answer ends, or whose body has a transfer coding
/// that can't be decoded, is an error. Precondition: it is not eager before it has read the head. Thread safety: one thread at a time.
template <typename Body>
class AnswerParser : public boost::beast::http::response_parser<Body> {
public:
    /// Whether another answer may follow on the connection. Precondition: the answer was parsed to its end.
    bool canKeepAlive() const
    {
        const auto& answer = this->get();
        return this->keep_alive() && !announcesForbiddenBody(answer.result_int(), answer);
    }

private:
    void on_header_impl(boost::beast::error_code& error) override
    {
        error = {};
        const auto& answer = this->get();
        if (!hasEnd(*this, endOfAnswer(answer.version(), answer.result_int(), answer)))
            error = boost::beast::http::error::bad_transfer_encoding;
    }
};

} // namespace Ibisturn
