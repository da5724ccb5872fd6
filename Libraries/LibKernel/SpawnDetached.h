#pragma once

#include <LibKernel/Asio.h>

#include <exception>
#include <string_view>
#include <utility>

namespace Ibisturn {

/// Logs that the task `name` ended with `failure`, if there is one. Thread safety: any thread.
void logTaskFailure(std::string_view name, const std::exception_ptr& failure);

/// Runs `task` on `executor` without waiting for it. An exception that leaves the task ends only the task, and is logged with
/// `name`. Precondition: `name` is a literal. Thread safety: any thread.
template <typename Executor>
void spawnDetached(Executor&& executor, Task<void> task, std::string_view name)
{
    Asio::co_spawn(std::forward<Executor>(executor), std::move(task), [name](const std::exception_ptr& failure) { logTaskFailure(name, failure); });
}

} // namespace Ibisturn
