#pragma once

#include <LibCore/Clock.h>

namespace Ibisturn {

/// How much of what a backend server should have cached, because other instances sent it there, is counted as cached. Answers that come
/// much later than forecast lower this share; it recovers without further ones.
/// Thread safety: one thread at a time.
class AssumedCache {
public:
    /// The share without contrary evidence. Some sessions are sent elsewhere, and some parts are evicted.
    static constexpr double usualShare = 0.7;
    /// A server that has started holds nothing. It counts as filled this long after its cold period.
    static constexpr Duration fillTime = std::chrono::seconds(10);
    /// Half of a lowered share is restored in this time.
    static constexpr Duration recoveryHalfLife = std::chrono::seconds(5);

    /// The server's process can take its full rate from this time on; before, it holds nothing that others sent.
    void setColdUntil(TimePoint coldUntil) { coldUntil_ = coldUntil; }

    /// Another process runs there, which holds nothing until it has run for the time to fill.
    void onRestart() { isRestarted_ = true; }

    /// The share of the tokens that is counted as cached.
    double share(TimePoint now);

    /// An answer came `late` after its forecast, in which tokens that take `assumedTime` to read were assumed to be cached. Answers that
    /// were late by less than half of this time are no evidence. Precondition: assumedTime >= 0.
    void onAnswer(TimePoint now, Duration late, Duration assumedTime);

private:
    double trust(TimePoint now) const;

    double trust_ { 1 };
    TimePoint trustChangedAt_ {};
    TimePoint coldUntil_ {};
    /// Set until share() gives the new process a time of its own.
    bool isRestarted_ { false };
    TimePoint restartedAt_ {};
};

} // namespace Ibisturn
