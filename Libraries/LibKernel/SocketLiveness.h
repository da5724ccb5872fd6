#pragma once

#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Sends small writes at once, and makes the kernel end a connection whose other side has gone silent: no close comes
/// from a machine without power or behind a cut network. Thread safety: the worker of the socket.
void watchLiveness(Asio::ip::tcp::socket& socket);

} // namespace Ibisturn
