#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Cancels a request when the deadline given by its caller passes.
/// Thread safety: one coroutine at a time.
class DeadlineTimer {
public:
    /// Starts the timer if the caller set a deadline. Precondition: the request has a cancellation.
    DeadlineTimer(const Asio::any_io_executor& executor, const GatewayRequest& request)
        : timer_(executor)
    {
        if (!request.callerDeadline)
            return;
        timer_.expires_after(*request.callerDeadline - SteadyClock().now());
        timer_.async_wait([cancellation = request.cancellation](const boost::system::error_code& error) {
            if (!error)
                cancellation->cancel(DeadlinePassed {});
        });
    }

private:
    Asio::steady_timer timer_;
};

} // namespace Ibisturn
