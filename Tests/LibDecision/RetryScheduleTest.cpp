#include <LibDecision/Scheduling/RetrySchedule.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId model("model");

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

RefusedRequest refusedRequest()
{
    RefusedRequest request;
    request.service = model;
    request.work = 2'000;
    request.regionRate = 400'000;
    request.instances = 1;
    request.excess = 400ms;
    request.timeLeft = 9s;
    return request;
}

enum class Forecast : std::uint8_t {
    /// The excess of the wait, with up to half of it added at random.
    ExcessOfWait,
    Schedule,
};

struct Returns {
    std::uint32_t served { 0 };
    std::uint32_t refused { 0 };
    std::uint32_t refusedTwice { 0 };
    /// The largest and the mean number of returns in a tenth of a second in which any return.
    std::uint32_t busiest { 0 };
    double mean { 0 };
};

struct Arrival {
    TimePoint time;
    TimePoint deadline;
    bool isReturn { false };

    bool operator>(const Arrival& other) const { return time > other.time; }
};

/// Requests arrive at `instances` at three times the rate of a region's servers for a second, and at half of it afterwards. An instance refuses
/// a request if the queue is longer than what the target permits, and its caller returns once.
Returns simulate(Forecast forecast, std::size_t instances, std::uint64_t seed)
{
    constexpr double rate = 1'000'000;
    constexpr double work = 2'400;
    constexpr double target = 0.8;
    constexpr double allowedLateness = 0.5;
    constexpr double timeout = 10;
    constexpr double peak = 1;
    std::mt19937_64 random(seed);
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
    for (double time = 0; time < 2 * timeout / 3;) {
        time += std::exponential_distribution<>((time < peak ? 3 : 0.5) * rate / work)(random);
        arrivals.push({ at(fromSeconds(time)), at(fromSeconds(time + timeout)) });
    }
    std::vector<RetrySchedule> schedules(instances);
    std::map<std::int64_t, std::uint32_t> returnsBySlot;
    Returns result;
    double queue = target * rate;
    auto now = at(0s);
    while (!arrivals.empty()) {
        const auto arrival = arrivals.top();
        arrivals.pop();
        queue = std::max(0.0, queue - rate * seconds(arrival.time - now));
        now = arrival.time;
        auto& schedule = schedules[random() % instances];
        const auto wait = queue / rate;
        if (wait <= target * (1 + allowedLateness)) {
            queue += work;
            schedule.onAccepted(now, model, work);
            ++result.served;
            continue;
        }
        if (arrival.isReturn) {
            ++result.refusedTwice;
            continue;
        }
        ++result.refused;
        const auto hash = random();
        auto request = refusedRequest();
        request.work = work;
        request.regionRate = rate;
        request.instances = instances;
        request.excess = fromSeconds(wait - target);
        request.timeLeft = arrival.deadline - now;
        request.hash = hash;
        const auto retryAfter = forecast == Forecast::Schedule ? schedule.refuse(now, request).retryAfter
                                                               : fromSeconds((wait - target) * (1 + 0.5 * static_cast<double>(hash % 1024) / 1024));
        const auto returnsAt = now + std::min(retryAfter, (arrival.deadline - now) / 3);
        arrivals.push({ returnsAt, arrival.deadline, true });
        ++returnsBySlot[(returnsAt - at(0s)) / 100ms];
    }
    for (const auto& [slot, count] : returnsBySlot)
        result.busiest = std::max(result.busiest, count);
    result.mean = returnsBySlot.empty() ? 0 : static_cast<double>(result.refused) / static_cast<double>(returnsBySlot.size());
    return result;
}

} // namespace

// Guards against callers that are all told to return when the queue is expected to be short, which refill it at once: each request that
// is refused twice has cost two requests and got nothing.
TEST(RetrySchedule, ThirtyInstancesThatRefuseInTheSameSecondSpreadTheReturns)
{
    constexpr std::size_t instances = 30;
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        const auto before = simulate(Forecast::ExcessOfWait, instances, seed);
        const auto after = simulate(Forecast::Schedule, instances, seed);
        std::printf("seed %d      served  refused  refused twice  busiest 100 ms  mean\n", static_cast<int>(seed));
        std::printf("  excess    %6u  %7u  %13u  %14u  %4.1f\n", before.served, before.refused, before.refusedTwice, before.busiest, before.mean);
        std::printf("  schedule  %6u  %7u  %13u  %14u  %4.1f\n", after.served, after.refused, after.refusedTwice, after.busiest, after.mean);
        EXPECT_GT(before.refusedTwice, 50U);
        EXPECT_LT(after.refusedTwice * 2, before.refusedTwice);
        EXPECT_LT(after.busiest * 3, before.busiest * 2);
        EXPECT_GT(after.served, before.served);
    }
}

// Each refused request reserves what is free after those refused before; the others would return at the same time and not fit.
TEST(RetrySchedule, RequestsReturnOneAfterTheOther)
{
    RetrySchedule schedule;
    auto last = Duration::zero();
    for (int count = 0; count < 20; ++count) {
        const auto forecast = schedule.refuse(at(0s), refusedRequest());
        EXPECT_TRUE(forecast.isReserved);
        EXPECT_GT(forecast.retryAfter, last);
        last = forecast.retryAfter;
    }
    // 19 requests of 2,000 tokens at half of 400,000 tokens per second, after the excess of 400 ms.
    EXPECT_NEAR(seconds(last), 0.4 + 19 * 2'000 / 200'000.0, 0.001);
}

// The free capacity of a region must not be promised once by each of its instances.
TEST(RetrySchedule, InstancesDivideTheRateOfTheRegion)
{
    RetrySchedule one;
    RetrySchedule oneOfTen;
    auto request = refusedRequest();
    request.instances = 10;
    one.refuse(at(0s), refusedRequest());
    oneOfTen.refuse(at(0s), request);
    const auto waitForOne = one.refuse(at(0s), refusedRequest()).retryAfter - 400ms;
    const auto waitForTen = oneOfTen.refuse(at(0s), request).retryAfter - 400ms;
    EXPECT_NEAR(seconds(waitForTen), 10 * seconds(waitForOne), 0.001);
}

// A caller that can't wait for its reservation returns earlier or not at all; what it reserved would be lost to others.
TEST(RetrySchedule, ReservesNothingForCallersThatCannotWaitForIt)
{
    RetrySchedule schedule;
    auto request = refusedRequest();
    request.timeLeft = 1s;
    for (int count = 0; count < 1000; ++count)
        EXPECT_FALSE(schedule.refuse(at(0s), request).isReserved);
    EXPECT_NEAR(seconds(schedule.refuse(at(0s), refusedRequest()).retryAfter), 0.4, 0.001);
    request.timeLeft = 9s;
    request.mayReturn = false;
    EXPECT_FALSE(schedule.refuse(at(0s), request).isReserved);
}

// The caller must be able to see that no retry can succeed within its deadline.
TEST(RetrySchedule, SaysTruthfullyThatNoRetryCanSucceed)
{
    RetrySchedule schedule;
    auto request = refusedRequest();
    request.excess = 4s;
    request.timeLeft = 3s;
    const auto forecast = schedule.refuse(at(0s), request);
    EXPECT_FALSE(forecast.isReserved);
    EXPECT_GE(forecast.retryAfter, 3s);
}

// Requests of the highest priority are served first, so those of lower priorities don't delay their return.
TEST(RetrySchedule, UrgentRequestsDoNotWaitForReservationsOfOthers)
{
    RetrySchedule schedule;
    auto request = refusedRequest();
    request.priority = 2;
    for (int count = 0; count < 100; ++count)
        schedule.refuse(at(0s), request);
    EXPECT_GT(schedule.refuse(at(0s), request).retryAfter, 1s);
    request.priority = 0;
    EXPECT_LT(schedule.refuse(at(0s), request).retryAfter, 500ms);
}

// A forecast that rests on too low a rate must be corrected within a second by what is accepted.
TEST(RetrySchedule, AcceptedRequestsCorrectTheRateWithinASecond)
{
    RetrySchedule schedule;
    auto request = refusedRequest();
    request.regionRate = 50'000;
    for (int count = 0; count < 20; ++count)
        schedule.refuse(at(0s), request);
    const auto before = schedule.refuse(at(0s), request).retryAfter;
    for (auto time = Duration::zero(); time <= 1s; time += 10ms) {
        schedule.onAccepted(at(time), model, 2'000);
        auto probe = request;
        probe.mayReturn = false;
        schedule.refuse(at(time), probe);
    }
    const auto after = schedule.refuse(at(1s), request);
    EXPECT_GT(seconds(before), 1.5);
    EXPECT_LT(seconds(after.retryAfter), 0.7);
    EXPECT_NEAR(after.rate, 0.5 * 200'000, 20'000);
}

// Reservations of callers that never return must not delay others for good.
TEST(RetrySchedule, RequestsAcceptedInACalmReleaseReservations)
{
    RetrySchedule schedule;
    for (int count = 0; count < 200; ++count)
        schedule.refuse(at(0s), refusedRequest());
    EXPECT_GT(schedule.refuse(at(0s), refusedRequest()).retryAfter, 2s);
    schedule.onAccepted(at(600ms), model, 2'000);
    EXPECT_NEAR(seconds(schedule.refuse(at(600ms), refusedRequest()).retryAfter), 0.4, 0.001);
}

// A new process knows no reservations. Its forecast is short at first and must agree with that of the old one within a second.
TEST(RetrySchedule, RestartedInstanceForecastsLikeTheOthersWithinASecond)
{
    RetrySchedule old;
    RetrySchedule restarted;
    auto request = refusedRequest();
    request.regionRate = 100'000;
    Duration difference {};
    for (auto time = Duration::zero(); time <= 5s; time += 20ms) {
        const auto expected = old.refuse(at(time), request).retryAfter;
        if (time >= 4s)
            difference = expected - restarted.refuse(at(time), request).retryAfter;
        if (time == 4s)
            EXPECT_GT(difference, 2s);
    }
    EXPECT_LT(difference, 2s);
    for (auto time = 5s + 20ms; time <= 8s; time += 20ms)
        difference = old.refuse(at(time), request).retryAfter - restarted.refuse(at(time), request).retryAfter;
    EXPECT_LT(difference, 100ms);
}

TEST(RetrySchedule, IgnoresImpossibleValues)
{
    RetrySchedule schedule;
    schedule.onAccepted(at(0s), model, -5);
    schedule.onAccepted(at(0s), model, std::numeric_limits<double>::quiet_NaN());
    auto request = refusedRequest();
    for (const auto value : { -1.0, 0.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
        request = refusedRequest();
        request.work = value;
        request.regionRate = value;
        request.instances = 0;
        request.excess = -5s;
        request.timeLeft = -1s;
        const auto forecast = schedule.refuse(at(0s), request);
        EXPECT_GE(forecast.retryAfter, RetrySchedule::minRetryAfter);
        EXPECT_LE(forecast.retryAfter, RetrySchedule::maxRetryAfter);
        EXPECT_FALSE(forecast.isReserved);
        request.regionRate = 400'000;
        EXPECT_LE(schedule.refuse(at(0s), request).retryAfter, 200ms);
    }
    EXPECT_NEAR(seconds(schedule.refuse(at(0s), refusedRequest()).retryAfter), 0.4, 0.001);
}

} // namespace Ibisturn::Testing
