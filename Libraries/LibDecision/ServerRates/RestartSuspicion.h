#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <optional>

namespace Ibisturn {

/// Whether the process of a backend server may have been replaced by a new one, which is cold. After a connection was refused or lost,
/// the registry may name the new process some hundred milliseconds late. Until then each instance sends at most its even share of
/// the rate that a cold server sustains, so that all of them together stay within that rate without a message. The new process may start
/// at any time after the loss, so the suspicion lasts until an answer shows that one runs, and from then on for as long as it may be cold.
/// Thread safety: one thread at a time.
class RestartSuspicion {
public:
    /// The end of a process closes all its connections at once; what is read from one of them this much later proves that it runs.
    static constexpr Duration livenessMargin = std::chrono::milliseconds(100);

    /// A connection was refused or lost.
    void onConnectionLost(TimePoint now);

    /// A part of the answer to a request that was sent at `sentAt` is read at `now`. `coldPeriod` is how long a new process is cold.
    void onAnswerPart(TimePoint now, TimePoint sentAt, Duration coldPeriod);

    /// The process that ran before the loss answered a question that was asked at `askedAt`.
    void onProcessConfirmed(TimePoint askedAt);

    /// Whether a new process may be running, or may start.
    bool isSuspected(TimePoint now) const { return lostAt_ && (!warmAt_ || now < *warmAt_); }

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
    /// When the process that has answered since the loss is no longer cold; unset while none has.
    std::optional<TimePoint> warmAt_;
    std::optional<TimePoint> lastSentAt_;
};

} // namespace Ibisturn
