#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// How long the work of one backend server takes, relative to what its service needs on average. Three things are kept apart: the
/// lasting speed of the server, its present slowdown as this instance has measured it, and what the server itself reports of the present.
/// A slowdown fades without new measurements, so that a server that recovers is used again.
/// Thread safety: one thread at a time.
class ServerRate {
public:
    /// Slower and faster measurements count as these; they bound what one false measurement or report can do.
    static constexpr double minFactor = 0.5;
    static constexpr double maxFactor = 8;
    /// A report of the present is used for this long: slow spells of shared machines last some hundred milliseconds.
    static constexpr Duration paceLifetime = std::chrono::milliseconds(600);
    /// A measured slowdown halves in this time without a new measurement.
    static constexpr Duration slownessHalfLife = std::chrono::milliseconds(1000);
    /// The lasting factor halves its distance from 1 in this time without a new measurement.
    static constexpr Duration lastingHalfLife = std::chrono::minutes(2);
    /// Time between two trials of a backend server that is only believed to be too slow.
    static constexpr Duration trialPeriod = std::chrono::milliseconds(1000);

    /// Records an answer that took `ratio` times as long as it would take at the average rates of the service. `serviceRatio` is the
    /// average of such ratios over all servers of the service; it keeps a slowdown that all of them share out of the lasting factor.
    /// Precondition: `ratio` is finite, and `serviceRatio` is positive.
    void onSample(TimePoint now, double ratio, double serviceRatio);

    /// The backend server reports that work now takes `percent` of what is usual there. Reports of zero are ignored.
    void onPace(TimePoint now, std::uint32_t percent);

    /// The factor by which work that is sent now takes longer than the average of the service.
    double factor(TimePoint now) const;

    /// The lasting part of factor(): the speed of the backend server outside its slow spells.
    double lastingFactor(TimePoint now) const;

    /// The part of factor() that this instance has measured and that fades.
    double slowness(TimePoint now) const;

    /// Whether a request may be sent to find out if the backend server is still as slow as believed: at most one per trial period.
    bool mayTry(TimePoint now) const { return now >= nextTrialAt_; }

    /// Records that a request is sent as such a trial.
    void onTrial(TimePoint now) { nextTrialAt_ = now + trialPeriod; }

    /// How much longer work takes now, as the backend server reports it; 1 without a current report.
    double pace(TimePoint now) const;

private:
    double lasting_ { 1 };
    double slowness_ { 1 };
    TimePoint sampledAt_ {};
    double pace_ { 1 };
    std::optional<TimePoint> paceReportedAt_;
    TimePoint nextTrialAt_ {};
};

} // namespace Ibisturn
