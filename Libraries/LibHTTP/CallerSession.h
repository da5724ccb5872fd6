#pragma once

#include <LibHTTP/InstanceTables.h>
#include <LibHTTP/RequestRunner.h>
#include <LibHTTP/TlsIdentity.h>

namespace Ibisturn {

/// Serves one caller's connection until it closes, in plain HTTP or, with `tls`, in HTTPS.
/// Precondition: `tables` and `runner` outlive the coroutine. Thread safety: the worker of `runner`.
Task<void> serveCaller(Asio::ip::tcp::socket socket, TlsContextPointer tls, InstanceTables& tables, RequestRunner& runner);

} // namespace Ibisturn
