#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Waits for `duration` without blocking the worker. Thread safety: the worker that runs the coroutine.
Task<void> pause(Duration duration);

} // namespace Ibisturn
