#pragma once

#include <atomic>
#include <cstdint>

namespace Ibisturn {

/// Counts a request as in flight for the lifetime of the object, so that a shutdown waits for it.
/// Thread safety: the counter is shared by all threads.
class InFlightRequest {
public:
    /// Precondition: `counter` outlives the object.
    explicit InFlightRequest(std::atomic<std::uint64_t>& counter)
        : counter_(counter)
    {
        ++counter_;
    }

    ~InFlightRequest() { --counter_; }
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;

private:
    std::atomic<std::uint64_t>& counter_;
};

} // namespace Ibisturn
