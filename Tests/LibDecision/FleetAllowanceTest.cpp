#include <LibDecision/Allowance/FleetAllowance.h>
#include <Tests/Support/Cases.h>

#include <deque>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
constexpr Duration reportInterval = 200ms;
constexpr Duration step = 20ms;

FleetAllowanceLimits limits()
{
    FleetAllowanceLimits limits;
    limits.window = 8s;
    limits.tolerance = 0.1;
    limits.slack = TokenCount(140'000);
    return limits;
}

/// Instances that exchange demand reports over links that may be cut, with callers that request a multiple of the allowance.
class Fleet {
public:
    Fleet(std::size_t count, TokenRateLimit terms, Random& random)
        : terms_(terms)
        , random_(random)
    {
        for (std::size_t index = 0; index < count; ++index)
            instances_.emplace_back(count, TimePoint(1h), index);
    }

    /// Runs callers that request `demand[i]` tokens per second at instance i, and returns the fraction that was refused.
    double run(Duration length, const std::vector<double>& demand, std::int64_t mean)
    {
        double requested = 0;
        double refused = 0;
        for (const auto end = now_ + length; now_ < end; now_ += step) {
            exchangeReports();
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                auto& instance = instances_[index];
                if (now_ < instance.frozenUntil)
                    continue;
                instance.pendingDemand += demand[index] * std::chrono::duration<double>(step).count();
                while (instance.pendingDemand > 0) {
                    // One request in a hundred is ten times as large.
                    const auto size = randomBelow(random_, 100) == 0 ? 10 * mean : mean;
                    const auto tokens = 1 + static_cast<std::int64_t>(randomBelow(random_, static_cast<std::size_t>(2 * size)));
                    instance.pendingDemand -= static_cast<double>(tokens);
                    requested += static_cast<double>(tokens);
                    if (instance.allowance.take(now_, school, terms_, TokenCount(tokens)))
                        refused += static_cast<double>(tokens);
                    else
                        used_.push_back({ now_, tokens });
                }
            }
        }
        return refused / requested;
    }

    /// Sends one request to one instance; returns whether it was admitted.
    bool send(std::size_t index, std::int64_t tokens)
    {
        const bool isAdmitted = !instances_[index].allowance.take(now_, school, terms_, TokenCount(tokens));
        if (isAdmitted)
            used_.push_back({ now_, tokens });
        return isAdmitted;
    }

    void cut(std::size_t from, std::size_t to, Duration length) { cuts_[{ from, to }] = now_ + length; }
    void freeze(std::size_t index, Duration length) { instances_[index].frozenUntil = now_ + length; }
    void restart(std::size_t index) { instances_[index] = Instance(instances_.size(), now_, index); }

    /// The maximum number of tokens used in any window.
    std::int64_t maxInWindow() const
    {
        std::int64_t max = 0;
        std::int64_t sum = 0;
        std::deque<Use> window;
        for (const auto& use : used_) {
            window.push_back(use);
            sum += use.tokens;
            while (window.front().at + limits().window <= use.at) {
                sum -= window.front().tokens;
                window.pop_front();
            }
            max = std::max(max, sum);
        }
        return max;
    }

    std::int64_t permitted() const
    {
        const auto allowance = terms_.rate.count() * 8 + static_cast<double>(terms_.burst.count());
        return static_cast<std::int64_t>(allowance * 1.1) + 140'000;
    }

private:
    struct Instance {
        Instance(std::size_t count, TimePoint startedAt, std::uint64_t seed)
            : allowance(limits(), startedAt, seed)
        {
            allowance.setInstanceCount(count);
        }
        FleetAllowance allowance;
        double pendingDemand { 0 };
        TimePoint frozenUntil {};
    };
    struct Use {
        TimePoint at;
        std::int64_t tokens;
    };
    struct DemandReport {
        TimePoint due;
        std::size_t from;
        std::size_t to;
        std::vector<AllowanceDemand> demands;
        std::optional<Duration> timeSinceOwnReport;
        Duration uptime;
    };

    void exchangeReports()
    {
        while (!reports_.empty() && reports_.front().due <= now_) {
            const auto& report = reports_.front();
            if (now_ >= instances_[report.to].frozenUntil)
                instances_[report.to].allowance.onDemandReport(now_, nameOf(report.from), report.demands, report.timeSinceOwnReport, report.uptime);
            reports_.pop_front();
        }
        if (now_ < nextReportAt_)
            return;
        nextReportAt_ = now_ + reportInterval;
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            for (std::size_t to = 0; to < instances_.size(); ++to) {
                const auto cut = cuts_.find({ from, to });
                if (from == to || now_ < instances_[from].frozenUntil || (cut != cuts_.end() && now_ < cut->second))
                    continue;
                const auto& allowance = instances_[from].allowance;
                reports_.push_back({ now_ + 60ms, from, to, allowance.demands(now_), allowance.timeSinceReport(now_, nameOf(to)), allowance.uptime(now_) });
            }
        }
    }

    static DemandSourceId nameOf(std::size_t index) { return DemandSourceId(fmt::format("i{}", index)); }

    TokenRateLimit terms_;
    Random& random_;
    TimePoint now_ { 1h };
    TimePoint nextReportAt_ {};
    std::vector<Instance> instances_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cuts_;
    std::deque<DemandReport> reports_;
    std::vector<Use> used_;
};

constexpr std::size_t instanceCount = 9;
const TokenRateLimit large { TokensPerSecond(700'000), TokenCount(700'000) };
const TokenRateLimit small { TokensPerSecond(36'000), TokenCount(36'000) };

std::vector<double> evenly(double totalRate)
{
    return std::vector<double>(instanceCount, totalRate / instanceCount);
}

} // namespace

TEST(FleetAllowance, AWorkspaceWithoutALimitIsNeverRefused)
{
    FleetAllowance allowance;
    EXPECT_FALSE(allowance.take(TimePoint(1h), school, { TokensPerSecond(0), TokenCount(0) }, TokenCount(1'000'000)));
}

TEST(FleetAllowance, TokensOfRequestsThatDidNotRunAreRefunded)
{
    FleetAllowance allowance(limits());
    EXPECT_TRUE(allowance.take(TimePoint(1h), school, small, TokenCount(100)));
    EXPECT_FALSE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(50'000)));
    EXPECT_TRUE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(10)));
    allowance.refund(TimePoint(1h) + 1s, school, TokenCount(50'000));
    EXPECT_FALSE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(10)));
}

TEST(FleetAllowance, RarelyRefusesDemandWithinTheRate)
{
    Random random(seedOfRun());
    for (const auto& terms : { large, small }) {
        Fleet fleet(instanceCount, terms, random);
        fleet.run(4s, evenly(terms.rate.count() / 1.8), 3000);
        EXPECT_LT(fleet.run(60s, evenly(terms.rate.count() / 1.8), 3000), 0.01);
    }
}

TEST(FleetAllowance, CallersAfterAnIdleStartAreServed)
{
    Random random(seedOfRun());
    Fleet fleet(instanceCount, small, random);
    fleet.run(10s, evenly(1), 1);
    EXPECT_LT(fleet.run(2s, evenly(small.rate.count() / 1.8), 3000), 0.01);
}

// A long prompt of a small workspace must not cause its other requests to be refused while the fleet has tokens for them.
TEST(FleetAllowance, LargeRequestDoesNotBlockOthers)
{
    Random random(seedOfRun());
    Fleet fleet(instanceCount, small, random);
    fleet.run(12s, evenly(small.rate.count() / 3), 3000);
    EXPECT_TRUE(fleet.send(0, 70'000));
    for (int index = 0; index < 5; ++index)
        EXPECT_TRUE(fleet.send(0, 2000));
    EXPECT_LE(fleet.maxInWindow(), fleet.permitted());
}

TEST(FleetAllowance, FollowsDemandConcentratedInOneRegion)
{
    Random random(seedOfRun());
    Fleet fleet(instanceCount, large, random);
    const auto rate = large.rate.count() / 1.8;
    std::vector<double> concentrated(instanceCount, rate * 0.1 / 6);
    for (std::size_t index = 0; index < 3; ++index)
        concentrated[index] = rate * 0.9 / 3;
    fleet.run(4s, evenly(rate), 3000);
    EXPECT_LT(fleet.run(30s, concentrated, 3000), 0.01);
}

TEST(FleetAllowance, KeepsTheBoundWhenAWorkspaceSendsManyTimesItsRate)
{
    Random random(seedOfRun());
    for (const auto& terms : { large, small }) {
        Fleet fleet(instanceCount, terms, random);
        fleet.run(10s, evenly(terms.rate.count() / 1.8), 3000);
        fleet.run(20s, evenly(terms.rate.count() * 4), 3000);
        EXPECT_LE(fleet.maxInWindow(), fleet.permitted());
    }
}

TEST(FleetAllowance, KeepsTheBoundWhenAllInstancesRestartUnderOverload)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Random random(seedOfRun() + seed);
        for (const auto& terms : { large, small }) {
            Fleet fleet(instanceCount, terms, random);
            fleet.run(10s, evenly(terms.rate.count() * 4), 3000);
            for (std::size_t index = 0; index < instanceCount; ++index)
                fleet.restart(index);
            fleet.run(10s, evenly(terms.rate.count() * 4), 3000);
            EXPECT_LE(fleet.maxInWindow(), fleet.permitted());
        }
    }
}

TEST(FleetAllowance, EachSideOfAPartitionHasItsOwnShare)
{
    Random random(seedOfRun());
    Fleet fleet(instanceCount, large, random);
    fleet.run(5s, evenly(large.rate.count() * 4), 3000);
    for (std::size_t one = 0; one < 3; ++one) {
        for (std::size_t other = 3; other < instanceCount; ++other) {
            fleet.cut(one, other, 10s);
            fleet.cut(other, one, 10s);
        }
    }
    fleet.run(20s, evenly(large.rate.count() * 4), 3000);
    EXPECT_LE(fleet.maxInWindow(), fleet.permitted());
}

// Two-way and one-way link failures, freezes and restarts, with callers that request up to five times the rate.
TEST(FleetAllowance, RandomFaultsNeverExceedTheBound)
{
    constexpr std::uint64_t cases = 200;
    forEachCase([](Random& random) {
        const auto& terms = randomBelow(random, 2) == 0 ? large : small;
        Fleet fleet(instanceCount, terms, random);
        for (int phase = 0; phase < 8; ++phase) {
            for (std::size_t faults = randomBelow(random, 4); faults > 0; --faults) {
                const auto one = randomBelow(random, instanceCount);
                const auto other = randomBelow(random, instanceCount);
                const auto length = std::chrono::milliseconds(500 + randomBelow(random, 6000));
                switch (randomBelow(random, 6)) {
                case 5:
                    // All instances, as after a power failure.
                    for (std::size_t index = 0; index < instanceCount; ++index)
                        fleet.restart(index);
                    break;
                case 0:
                    fleet.cut(one, other, length);
                    fleet.cut(other, one, length);
                    break;
                case 1:
                    fleet.cut(one, other, length);
                    break;
                case 2:
                    fleet.freeze(one, length);
                    break;
                case 3:
                    fleet.restart(one);
                    break;
                default:
                    for (std::size_t index = 0; index < instanceCount; ++index) {
                        fleet.cut(one, index, length);
                        fleet.cut(index, one, length);
                    }
                }
            }
            std::vector<double> demand;
            for (std::size_t index = 0; index < instanceCount; ++index)
                demand.push_back(terms.rate.count() * static_cast<double>(randomBelow(random, 50)) / 10 / instanceCount);
            fleet.run(std::chrono::milliseconds(500 + randomBelow(random, 4000)), demand, 3000);
        }
        EXPECT_LE(fleet.maxInWindow(), fleet.permitted());
    },
        cases);
}

} // namespace Ibisturn::Testing
