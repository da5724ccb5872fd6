#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Ibisturn {

/// The phases of a graceful shutdown, after which the platform kills the process: new requests are accepted for a while, since
/// callers keep answers of the directory; then they are refused, while the accepted ones finish; shortly before the end those that
/// still run are aborted, so that their callers receive an answer.
/// Thread safety: immutable.
class ShutdownSchedule {
public:
    /// `grace` is the time between the signal at `start` and the kill. Precondition: `grace` is not negative.
    ShutdownSchedule(TimePoint start, Duration grace);

    /// From this time a request is refused unless it was complete before.
    TimePoint refuseFrom() const { return refuseFrom_; }

    /// When the requests that still run are aborted.
    TimePoint abortAt() const { return abortAt_; }

    /// Whether a request that becomes complete at `now` is refused.
    bool mustRefuse(TimePoint now) const { return now >= refuseFrom_; }

    /// Whether the instance goes on serving at `now`, with `requestsInFlight` requests left.
    bool mustServe(TimePoint now, std::uint64_t requestsInFlight) const { return now < abortAt_ && (requestsInFlight > 0 || now < refuseFrom_); }

private:
    TimePoint refuseFrom_;
    TimePoint abortAt_;
};

} // namespace Ibisturn
