#pragma once

#include <LibHTTP/InstanceTables.h>
#include <LibHTTP/RequestRunner.h>
#include <LibPeer/PeerConnection.h>

namespace Ibisturn {

/// Serves one connection from a peer until it closes: one request after another, each run here or refused.
/// Precondition: `tables` and `runner` outlive the coroutine. Thread safety: the worker of `runner`.
Task<void> servePeer(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner);

} // namespace Ibisturn
