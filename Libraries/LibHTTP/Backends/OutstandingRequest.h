#pragma once

#include <LibHTTP/Backends/LoadTable.h>

#include <utility>

namespace Ibisturn {

/// Counts a request as in flight on a backend server for the lifetime of the object.
/// Thread safety: one coroutine at a time.
class OutstandingRequest {
public:
    /// Precondition: `load` outlives the object.
    OutstandingRequest(LoadTable& load, BackendServerId server)
        : load_(load)
        , server_(std::move(server))
    {
        load_.begin(server_);
    }

    ~OutstandingRequest() { load_.end(server_); }
    OutstandingRequest(const OutstandingRequest&) = delete;
    OutstandingRequest& operator=(const OutstandingRequest&) = delete;

private:
    LoadTable& load_;
    BackendServerId server_;
};

} // namespace Ibisturn
