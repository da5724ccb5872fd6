#pragma once

#include <LibHTTP/Callers/CallerDialect.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestRunner.h>

namespace Ibisturn {

/// Serves one caller's connection until it closes. Its requests are matched to routes with a policy.
/// Precondition: `tables`, `runner` and `dialect` outlive the coroutine. Thread safety: the worker of `runner`.
Task<void> serveRoutedCaller(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner, const CallerDialect& dialect);

} // namespace Ibisturn
