#include <LibDecision/Allowance/FleetAllowance.h>
#include <Tests/Support/Cases.h>

#include <deque>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
constexpr Duration newsPeriod = 200ms;
constexpr Duration step = 20ms;

FleetAllowanceLimits limits()
{
    FleetAllowanceLimits limits;
    limits.window = 8s;
    limits.tolerance = 0.1;
    limits.slack = TokenCount(140'000);
    return limits;
}

/// Instances that trade news over links that may be cut, and callers that ask for a multiple of the allowance.
class Fleet {
public:
    Fleet(std::size_t count, AllowanceTerms terms, Random& random)
        : terms_(terms)
        , random_(random)
        , instances_(count, Instance(count, TimePoint(1h)))
    {
    }

    /// Lets every instance's callers ask at `demand` tokens a second in all, and returns the share that was refused.
    double run(Duration length, const std::vector<double>& demand, std::int64_t mean)
    {
        double asked = 0;
        double refused = 0;
        for (const auto end = now_ + length; now_ < end; now_ += step) {
            tradeNews();
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                auto& instance = instances_[index];
                if (now_ < instance.frozenUntil)
                    continue;
                instance.owed += demand[index] * std::chrono::duration<double>(step).count();
                while (instance.owed > 0) {
                    // One request in a hundred is ten times as large.
                    const auto size = randomBelow(random_, 100) == 0 ? 10 * mean : mean;
                    const auto tokens = 1 + static_cast<std::int64_t>(randomBelow(random_, static_cast<std::size_t>(2 * size)));
                    instance.owed -= static_cast<double>(tokens);
                    asked += static_cast<double>(tokens);
                    if (instance.allowance.take(now_, school, terms_, TokenCount(tokens)))
                        refused += static_cast<double>(tokens);
                    else
                        used_.push_back({ now_, tokens });
                }
            }
        }
        return refused / asked;
    }

    /// One request at one instance; returns whether it was admitted.
    bool send(std::size_t index, std::int64_t tokens)
    {
        const bool isAdmitted = !instances_[index].allowance.take(now_, school, terms_, TokenCount(tokens));
        if (isAdmitted)
            used_.push_back({ now_, tokens });
        return isAdmitted;
    }

    void cut(std::size_t from, std::size_t to, Duration length) { cuts_[{ from, to }] = now_ + length; }
    void freeze(std::size_t index, Duration length) { instances_[index].frozenUntil = now_ + length; }
    void restart(std::size_t index) { instances_[index] = Instance(instances_.size(), now_); }

    /// The most tokens that were used in any window.
    std::int64_t mostInWindow() const
    {
        std::int64_t most = 0;
        std::int64_t sum = 0;
        std::deque<Use> window;
        for (const auto& use : used_) {
            window.push_back(use);
            sum += use.tokens;
            while (window.front().at + limits().window <= use.at) {
                sum -= window.front().tokens;
                window.pop_front();
            }
            most = std::max(most, sum);
        }
        return most;
    }

    std::int64_t permitted() const
    {
        const auto whole = terms_.rate.count() * 8 + static_cast<double>(terms_.burst.count());
        return static_cast<std::int64_t>(whole * 1.1) + 140'000;
    }

private:
    struct Instance {
        Instance(std::size_t count, TimePoint startedAt)
            : allowance(limits(), startedAt)
        {
            allowance.setInstances(count);
        }
        FleetAllowance allowance;
        double owed { 0 };
        TimePoint frozenUntil {};
    };
    struct Use {
        TimePoint at;
        std::int64_t tokens;
    };
    struct News {
        TimePoint due;
        std::size_t from;
        std::size_t to;
        std::vector<AllowanceDemand> demands;
        std::optional<Duration> heardAgo;
        Duration runsFor;
    };

    void tradeNews()
    {
        while (!news_.empty() && news_.front().due <= now_) {
            const auto& news = news_.front();
            if (now_ >= instances_[news.to].frozenUntil)
                instances_[news.to].allowance.onDemands(now_, nameOf(news.from), news.demands, news.heardAgo, news.runsFor);
            news_.pop_front();
        }
        if (now_ < nextNews_)
            return;
        nextNews_ = now_ + newsPeriod;
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            for (std::size_t to = 0; to < instances_.size(); ++to) {
                const auto cut = cuts_.find({ from, to });
                if (from == to || now_ < instances_[from].frozenUntil || (cut != cuts_.end() && now_ < cut->second))
                    continue;
                const auto& allowance = instances_[from].allowance;
                news_.push_back({ now_ + 60ms, from, to, allowance.demands(now_), allowance.heardAgo(now_, nameOf(to)), allowance.runsFor(now_) });
            }
        }
    }

    static InstanceId nameOf(std::size_t index) { return InstanceId(fmt::format("i{}", index)); }

    AllowanceTerms terms_;
    Random& random_;
    TimePoint now_ { 1h };
    TimePoint nextNews_ {};
    std::vector<Instance> instances_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cuts_;
    std::deque<News> news_;
    std::vector<Use> used_;
};

constexpr std::size_t nine = 9;
const AllowanceTerms large { TokensPerSecond(700'000), TokenCount(700'000) };
const AllowanceTerms small { TokensPerSecond(36'000), TokenCount(36'000) };

std::vector<double> evenly(double whole)
{
    return std::vector<double>(nine, whole / nine);
}

} // namespace

TEST(FleetAllowance, AWorkspaceWithoutALimitIsNeverRefused)
{
    FleetAllowance allowance;
    EXPECT_FALSE(allowance.take(TimePoint(1h), school, { TokensPerSecond(0), TokenCount(0) }, TokenCount(1'000'000)));
}

TEST(FleetAllowance, WhatHasNotRunIsGivenBack)
{
    FleetAllowance allowance(limits());
    EXPECT_TRUE(allowance.take(TimePoint(1h), school, small, TokenCount(100)));
    EXPECT_FALSE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(50'000)));
    EXPECT_TRUE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(10)));
    allowance.giveBack(TimePoint(1h) + 1s, school, TokenCount(50'000));
    EXPECT_FALSE(allowance.take(TimePoint(1h) + 1s, school, small, TokenCount(10)));
}

TEST(FleetAllowance, HardlyRefusesWhatLiesWithinTheRate)
{
    Random random(seedOfRun());
    for (const auto& terms : { large, small }) {
        Fleet fleet(nine, terms, random);
        fleet.run(4s, evenly(terms.rate.count() / 1.8), 3000);
        EXPECT_LT(fleet.run(60s, evenly(terms.rate.count() / 1.8), 3000), 0.01);
    }
}

TEST(FleetAllowance, CallersThatComeAfterAQuietStartAreServed)
{
    Random random(seedOfRun());
    Fleet fleet(nine, small, random);
    fleet.run(10s, evenly(1), 1);
    EXPECT_LT(fleet.run(2s, evenly(small.rate.count() / 1.8), 3000), 0.01);
}

// A long prompt of a small workspace must not keep its other requests out while the fleet has what they need.
TEST(FleetAllowance, ALargeRequestDoesNotShutOutTheOthers)
{
    Random random(seedOfRun());
    Fleet fleet(nine, small, random);
    fleet.run(12s, evenly(small.rate.count() / 3), 3000);
    EXPECT_TRUE(fleet.send(0, 70'000));
    for (int index = 0; index < 5; ++index)
        EXPECT_TRUE(fleet.send(0, 2000));
    EXPECT_LE(fleet.mostInWindow(), fleet.permitted());
}

TEST(FleetAllowance, FollowsCallersThatGatherInOneRegion)
{
    Random random(seedOfRun());
    Fleet fleet(nine, large, random);
    const auto rate = large.rate.count() / 1.8;
    std::vector<double> gathered(nine, rate * 0.1 / 6);
    for (std::size_t index = 0; index < 3; ++index)
        gathered[index] = rate * 0.9 / 3;
    fleet.run(4s, evenly(rate), 3000);
    EXPECT_LT(fleet.run(30s, gathered, 3000), 0.01);
}

TEST(FleetAllowance, KeepsTheBoundWhenAWorkspaceSendsManyTimesItsRate)
{
    Random random(seedOfRun());
    for (const auto& terms : { large, small }) {
        Fleet fleet(nine, terms, random);
        fleet.run(10s, evenly(terms.rate.count() / 1.8), 3000);
        fleet.run(20s, evenly(terms.rate.count() * 4), 3000);
        EXPECT_LE(fleet.mostInWindow(), fleet.permitted());
    }
}

TEST(FleetAllowance, KeepsTheBoundWhenAllInstancesStartAnewUnderOverload)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Random random(seedOfRun() + seed);
        for (const auto& terms : { large, small }) {
            Fleet fleet(nine, terms, random);
            fleet.run(10s, evenly(terms.rate.count() * 4), 3000);
            for (std::size_t index = 0; index < nine; ++index)
                fleet.restart(index);
            fleet.run(10s, evenly(terms.rate.count() * 4), 3000);
            EXPECT_LE(fleet.mostInWindow(), fleet.permitted());
        }
    }
}

TEST(FleetAllowance, EachSideOfACutHasItsOwnPart)
{
    Random random(seedOfRun());
    Fleet fleet(nine, large, random);
    fleet.run(5s, evenly(large.rate.count() * 4), 3000);
    for (std::size_t one = 0; one < 3; ++one) {
        for (std::size_t other = 3; other < nine; ++other) {
            fleet.cut(one, other, 10s);
            fleet.cut(other, one, 10s);
        }
    }
    fleet.run(20s, evenly(large.rate.count() * 4), 3000);
    EXPECT_LE(fleet.mostInWindow(), fleet.permitted());
}

// Cuts both ways and one way, freezes and restarts, under callers that ask for up to five times the rate.
TEST(FleetAllowance, RandomFaultsNeverExceedTheBound)
{
    constexpr std::uint64_t cases = 200;
    forEachCase([](Random& random) {
        const auto& terms = randomBelow(random, 2) == 0 ? large : small;
        Fleet fleet(nine, terms, random);
        for (int phase = 0; phase < 8; ++phase) {
            for (std::size_t faults = randomBelow(random, 4); faults > 0; --faults) {
                const auto one = randomBelow(random, nine);
                const auto other = randomBelow(random, nine);
                const auto length = std::chrono::milliseconds(500 + randomBelow(random, 6000));
                switch (randomBelow(random, 6)) {
                case 5:
                    // All of them, as after a loss of power.
                    for (std::size_t index = 0; index < nine; ++index)
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
                    for (std::size_t index = 0; index < nine; ++index) {
                        fleet.cut(one, index, length);
                        fleet.cut(index, one, length);
                    }
                }
            }
            std::vector<double> demand;
            for (std::size_t index = 0; index < nine; ++index)
                demand.push_back(terms.rate.count() * static_cast<double>(randomBelow(random, 50)) / 10 / nine);
            fleet.run(std::chrono::milliseconds(500 + randomBelow(random, 4000)), demand, 3000);
        }
        EXPECT_LE(fleet.mostInWindow(), fleet.permitted());
    },
        cases);
}

} // namespace Ibisturn::Testing
