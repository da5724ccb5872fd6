#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// How a request on a backend server ended, as input to its concurrency limit.
enum class ServiceSignal : std::uint8_t {
    Answered,
    /// It timed out or was refused as overloaded.
    Overloaded,
    /// It ended for a reason unrelated to the load.
    Unknown,
};

/// Limits the concurrent requests of one instance on one backend server by AIMD: additive increase while the backend server
/// does not queue requests, multiplicative decrease once it does. Queueing is detected by the backend server's reports or,
/// without recent ones, by the average time to the first token rising above its floor.
/// Thread safety: one thread at a time.
class ConcurrencyLimit {
public:
    /// Starts at `initial`; stays between 1 and `max`.
    ConcurrencyLimit(std::uint32_t initial, std::uint32_t max);

    /// Records the end of a request, with `outstanding` requests, including itself, in flight until then.
    void finish(TimePoint now, Duration timeToFirstToken, std::uint32_t outstanding, ServiceSignal signal);

    /// Applies the backend server's report of its queue length.
    void report(TimePoint now, std::uint32_t waiting);

    /// The maximum number of requests in flight.
    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

private:
    void recordFirstToken(Duration timeToFirstToken);
    bool isCongested(TimePoint now) const;
    void decrease(TimePoint now);

    double limit_;
    double max_;
    /// Average time to the first token of recent requests, over both cached and uncached prompts.
    double averageSeconds_ { 0 };
    /// Lower bound of the recent averages; it drifts upwards so that an outdated floor expires.
    double floorSeconds_ { 0 };
    std::uint32_t samples_ { 0 };
    TimePoint lastDecrease_ {};
    std::optional<TimePoint> lastReport_;
    std::uint32_t reportedWaiting_ { 0 };
};

} // namespace Ibisturn
