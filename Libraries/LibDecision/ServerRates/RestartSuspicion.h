#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <optional>

namespace Ibisturn {

/// Whether the process of a backend server may have been replaced by a new one, which is cold. After a connection was refused or lost,
/// the registry may name the new process some hundred milliseconds late. Until then each instance sends at most its even share of
/// the rate that a cold server sustains, so that all of them together stay within that rate without a message.
/// Thread safety: one thread at a time.
class RestartSuspicion {
public:
    /// An entry that a new process writes at its start reaches all instances of a region within this time.
    static constexpr Duration registryDelay = std::chrono::milliseconds(1500);
    /// The end of a process closes all its connections at once; what is read from one of them this much later proves that it runs.
    static constexpr Duration livenessMargin = std::chrono::milliseconds(100);

    /// A connection was refused or lost. `coldPeriod` is how long a new process is cold.
    void onConnectionLost(TimePoint now, Duration coldPeriod);

    /// A part of the answer to a request that was sent at `sentAt` is read at `now`.
    void onAnswerPart(TimePoint now, TimePoint sentAt);

    /// Whether a new process may be running.
    bool isSuspected(TimePoint now) const { return lostAt_ && now < endsAt_; }

    /// Time between two requests of this instance. `rate` is what a cold server sustains in requests per second from all `instances` of the
    /// region. Precondition: rate > 0.
    static Duration spacing(double rate, std::size_t instances);

    /// Whether this instance may send a request now. `rank` is the position of this instance among `instances`; it spreads their first
    /// requests. Precondition: rate > 0, rank < instances.
    bool maySend(TimePoint now, double rate, std::size_t rank, std::size_t instances) const;

    /// Records that a request is sent.
    void onSend(TimePoint now) { lastSentAt_ = now; }

private:
    std::optional<TimePoint> lostAt_;
    TimePoint endsAt_ {};
    std::optional<TimePoint> lastSentAt_;
};

} // namespace Ibisturn
