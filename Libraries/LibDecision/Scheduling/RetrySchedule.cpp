#include <LibDecision/Scheduling/RetrySchedule.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Largest random part of Retry-After while no server is known, relative to the rest.
constexpr double maxSpread = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

} // namespace

void RetrySchedule::onAccepted(TimePoint now, const ServiceId& id, double work)
{
    if (!std::isfinite(work) || work <= 0)
        return;
    auto& service = services_[id];
    service.rate = measuredRate(now, service) + work / seconds(rateTimeConstant);
    service.rateUpdatedAt = now;
    if (now - service.refusedAt > calmTime)
        service.reserved.fill(0);
}

RetryForecast RetrySchedule::refuse(TimePoint now, const RefusedRequest& request)
{
    // Instances that refuse at the same time forecast the same; each request gets a random point of its own part of the time.
    constexpr std::uint64_t spreadSteps = 1024;
    const auto spread = static_cast<double>(request.hash % spreadSteps) / spreadSteps;
    RetryForecast forecast;
    const auto excess = std::clamp<Duration>(request.excess, minRetryAfter, maxRetryAfter);
    if (!std::isfinite(request.regionRate) || request.regionRate <= 0) {
        // Without servers, nothing can be reserved.
        forecast.retryAfter = std::min<Duration>(fromSeconds(seconds(excess) * (1 + spread * maxSpread)), maxRetryAfter);
        return forecast;
    }
    auto& service = services_[request.service];
    if (now - service.refusedAt > calmTime)
        service.refusedSince = now;
    service.refusedAt = now;
    const auto evenShare = request.regionRate / static_cast<double>(std::max<std::size_t>(1, request.instances));
    const bool isMeasured = now - service.refusedSince >= measuringTime;
    const auto served = isMeasured ? std::clamp(measuredRate(now, service), evenShare / maxRateFactor, evenShare * maxRateFactor) : evenShare;
    const auto rate = served * returnShare;
    drain(now, service, rate);
    const auto work = std::isfinite(request.work) ? std::max(1.0, request.work) : 1;
    const auto priority = std::min<std::size_t>(request.priority, priorities - 1);
    double ahead = 0;
    for (std::size_t other = 0; other <= priority; ++other)
        ahead += service.reserved[other];
    const auto wait = seconds(excess) + (ahead + work * spread) / rate;
    forecast.retryAfter = fromSeconds(std::min(wait, seconds(maxRetryAfter)));
    forecast.rate = rate;
    forecast.isReserved = request.mayReturn && seconds(forecast.retryAfter) <= seconds(request.timeLeft) * waitedShare;
    if (forecast.isReserved)
        service.reserved[priority] += work;
    return forecast;
}

double RetrySchedule::measuredRate(TimePoint now, const Service& service)
{
    return service.rate * std::exp(-seconds(now - service.rateUpdatedAt) / seconds(rateTimeConstant));
}

void RetrySchedule::drain(TimePoint now, Service& service, double rate)
{
    auto done = rate * std::max(0.0, seconds(now - service.drainedAt));
    service.drainedAt = now;
    for (auto& reserved : service.reserved) {
        const auto part = std::min(reserved, done);
        reserved -= part;
        done -= part;
    }
}

} // namespace Ibisturn
