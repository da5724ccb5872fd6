#include <LibKernel/Pause.h>

namespace Ibisturn {

Task<void> pause(Duration duration)
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

} // namespace Ibisturn
