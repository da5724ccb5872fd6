#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Ibisturn {

/// A request that is refused for lack of capacity. Work is counted in uncached prompt tokens, or in requests for a plain service.
struct RefusedRequest {
    ServiceId service;
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    double work { 1 };
    /// The work per second that the servers of the region can do in theory, and the instances that share it.
    double regionRate { 1 };
    std::size_t instances { 1 };
    /// How far the wait of the best server exceeds the time to the target.
    Duration excess {};
    /// The time until the caller's deadline.
    Duration timeLeft {};
    /// Spreads requests that are refused at the same time by different instances.
    std::uint64_t hash { 0 };
    /// Whether the caller gets this instance's Retry-After, and so capacity is reserved for its return.
    bool mayReturn { true };
};

/// When a refused request should come back.
struct RetryForecast {
    Duration retryAfter {};
    /// Whether capacity is reserved for it. If not, there is none within the part of its time left that a caller waits.
    bool isReserved { false };
    /// This instance's work per second on which the forecast rests.
    double rate { 0 };
};

/// Tells refused callers of one instance when to come back, so that those who return find room. Each of them reserves part of what
/// the service will be able to do, after those refused before. Reservations are amounts of work and not points in time, so that a new
/// measurement of the rate corrects all of them at once. They are bounded by what callers wait, and a restart loses them without
/// harm: the waits that servers cause are part of every forecast.
/// Thread safety: one thread at a time.
class RetrySchedule {
public:
    static constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
    /// No caller of the deployments waits longer, so that a larger value would only show a wrong forecast.
    static constexpr Duration maxRetryAfter = std::chrono::seconds(10);
    /// Callers wait at most this share of their time left.
    static constexpr double waitedShare = 1.0 / 3;
    /// The share of the service's rate that is reserved for those who return. New requests arrive meanwhile and need the rest.
    static constexpr double returnShare = 0.5;
    /// The span over which the rate of accepted requests is averaged.
    static constexpr Duration rateTimeConstant = std::chrono::milliseconds(500);
    /// Before requests have been refused for this long, the rate of accepted requests shows the demand and not the capacity.
    static constexpr Duration measuringTime = std::chrono::milliseconds(1000);
    /// Requests accepted for this long without a refusal show that nothing needs to be reserved.
    static constexpr Duration calmTime = std::chrono::milliseconds(500);
    /// The measured rate counts at most this factor above or below an even share of the region's rate.
    static constexpr double maxRateFactor = 4;

    /// Records that a request of `service` was accepted with `work`. Work that is not finite and positive is ignored.
    void onAccepted(TimePoint now, const ServiceId& service, double work);

    /// Forecasts when `request` should come back, and reserves capacity for it if that is soon enough.
    /// `now` must not decrease from call to call.
    RetryForecast refuse(TimePoint now, const RefusedRequest& request);

private:
    /// Priorities 0, 1, and all lower ones: those that return are served in the order of their priority.
    static constexpr std::size_t priorities = 3;

    struct Service {
        std::array<double, priorities> reserved {};
        TimePoint drainedAt {};
        double rate { 0 };
        TimePoint rateUpdatedAt {};
        TimePoint refusedSince {};
        TimePoint refusedAt {};
    };

    static double measuredRate(TimePoint now, const Service& service);
    static void drain(TimePoint now, Service& service, double rate);

    std::map<ServiceId, Service> services_;
};

} // namespace Ibisturn
