#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Registry/RegisteredServer.h>
#include <LibKernel/Asio.h>

#include <memory>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// A connection to a backend server. Thread safety: the worker that owns it.
struct BackendConnection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// The backend server is not expected to close the connection before this time.
    TimePoint trustedUntil {};
    /// Whether an earlier request was sent on it.
    bool isReused { false };
    /// The process at the other end; unset if it was not asked.
    std::optional<ServerProcess> process;
    /// Whether writing a request failed. The connection is broken, and the write may have taken the error that a read would report.
    bool hasWriteFailed { false };
};

using BackendConnectionPointer = std::unique_ptr<BackendConnection>;

} // namespace Ibisturn
