#pragma once

#include <atomic>
#include <cstdint>

namespace Ibisturn {

/// Counts a request as in flight for the lifetime of the object, so that a shutdown waits for it.
/// Thread safety: the counter is shared by all threads.
class RequestUnderWay {
public:
    /// Precondition: `counter` outlives the object.
    explicit RequestUnderWay(std::atomic<std::uint64_t>& counter)
        : counter_(counter)
    {
        ++counter_;
    }

    ~RequestUnderWay() { --counter_; }
    RequestUnderWay(const RequestUnderWay&) = delete;
    RequestUnderWay& operator=(const RequestUnderWay&) = delete;

private:
    std::atomic<std::uint64_t>& counter_;
};

} // namespace Ibisturn
