#pragma once

#include <LibKernel/MessageFraming.h>

#include <cstdint>
#include <functional>
#include <utility>

#include <boost/beast/http.hpp>

namespace Ibisturn {

/// Parses a request into memory. A head that does not tell where the request ends is an error: what follows could be taken for another
/// request. The fields of a trailer are dropped: nobody uses them, and they must not pass for fields of the head.
/// Precondition: it becomes eager only once it has read the head. Before, Beast goes on to the body after an error in the head.
/// Thread safety: one thread at a time.
class CallerParser : public boost::beast::http::request_parser<boost::beast::http::string_body> {
public:
    /// Has `reserve` called with the bytes that the fields of the head need, before they need more than before. If it returns false, parsing
    /// ends with errc::not_enough_memory.
    void setFieldReservation(std::function<bool(std::uint64_t)> reserve) { reserve_ = std::move(reserve); }

private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view text, boost::beast::string_view value, boost::beast::error_code& error) override
    {
        // What Beast and the allocator add to each field.
        constexpr std::uint64_t fieldOverhead = 96;
        constexpr std::uint64_t reservationStep = 4096;
        if (is_header_done())
            return;
        used_ += text.size() + value.size() + fieldOverhead;
        if (reserve_ && used_ > reserved_) {
            if (!reserve_(used_ + reservationStep)) {
                error = make_error_code(boost::system::errc::not_enough_memory);
                return;
            }
            reserved_ = used_ + reservationStep;
        }
        get().insert(name, text, value);
    }

    void on_header_impl(boost::beast::error_code& error) override
    {
        error = {};
        if (!hasEnd(*this, endOfRequest(get().version(), get())))
            error = boost::beast::http::error::bad_transfer_encoding;
    }

    std::function<bool(std::uint64_t)> reserve_;
    std::uint64_t used_ { 0 };
    std::uint64_t reserved_ { 0 };
};

} // namespace Ibisturn
