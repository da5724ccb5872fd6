#pragma once

#include <LibHTTP/Callers/TlsIdentity.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestRunner.h>

namespace Ibisturn {

/// Serves one caller's connection until it closes, over plain HTTP or, with `tls`, over HTTPS.
/// Precondition: `tables` and `runner` outlive the coroutine. Thread safety: the worker of `runner`.
Task<void> serveCaller(Asio::ip::tcp::socket socket, TlsContextPointer tls, InstanceTables& tables, RequestRunner& runner);

} // namespace Ibisturn
