#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// How a request on a backend server ended, as far as its limit is concerned.
enum class ServiceSignal : std::uint8_t {
    Answered,
    /// It timed out or was refused as overloaded.
    Overloaded,
    /// It ended for another reason, which says nothing of the load.
    Unknown,
};

/// The number of requests that one instance keeps on one backend server at a time: additive increase while the
/// backend server does not queue, multiplicative decrease once it does. Its own reports tell whether it queues; where
/// they stay away, the average time to the first token does, by rising above its floor.
/// Thread safety: one thread at a time.
class ConcurrencyLimit {
public:
    /// Starts at `initial`; stays between 1 and `most`.
    ConcurrencyLimit(std::uint32_t initial, std::uint32_t most);

    /// Notes the end of a request that began while `outstanding` requests, itself included, were under way.
    void finish(TimePoint now, Duration firstToken, std::uint32_t outstanding, ServiceSignal signal);

    /// Takes what the backend server reported of its own queue.
    void report(TimePoint now, std::uint32_t waiting);

    /// Requests that may be under way.
    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

private:
    void noteFirstToken(Duration firstToken);
    bool isCongested(TimePoint now) const;
    void decrease(TimePoint now);

    double limit_;
    double most_;
    /// Average time to the first token of the last requests; a mix of cached and uncached prompts.
    double averageSeconds_ { 0 };
    /// The least recent average; it drifts upwards so that an old floor is forgotten.
    double floorSeconds_ { 0 };
    std::uint32_t samples_ { 0 };
    TimePoint lastDecrease_ {};
    std::optional<TimePoint> lastReport_;
    std::uint32_t reportedWaiting_ { 0 };
};

} // namespace Ibisturn
