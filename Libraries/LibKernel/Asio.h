#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

namespace Ibisturn {

namespace Asio = boost::asio;

/// A coroutine of the event loop that returns a T. It runs on the worker that spawned it.
template <typename T>
using Task = Asio::awaitable<T>;

} // namespace Ibisturn
