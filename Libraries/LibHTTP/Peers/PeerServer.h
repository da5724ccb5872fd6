#pragma once

#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestRunner.h>
#include <LibPeer/ControlReceiver.h>
#include <LibPeer/PeerConnection.h>

namespace Ibisturn {

/// Serves one connection from a peer until it closes: either a sequence of requests, each of which is run here or
/// refused, or the control messages of a control connection.
/// Precondition: `tables`, `runner` and `control` outlive the coroutine. Thread safety: the worker of `runner`.
Task<void> servePeer(Asio::ip::tcp::socket socket, InstanceTables& tables, RequestRunner& runner, ControlReceiver& control);

} // namespace Ibisturn
