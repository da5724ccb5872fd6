#include "StatusFleet.h"

#include <Tests/Support/Cases.h>

#include <deque>
#include <set>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
const TokenRateLimit large { TokensPerSecond(700'000), TokenCount(700'000) };
const TokenRateLimit small { TokensPerSecond(36'000), TokenCount(36'000) };

/// A fault injected into how the instances use what they know of each other, to prove that the checks detect it.
enum class Mutation : std::uint8_t {
    None,
    /// Instances take all others for reachable.
    CountEveryone,
    /// A new process takes its share for unused.
    StartWithBurst,
};

FleetAllowanceLimits limits()
{
    FleetAllowanceLimits limits;
    limits.window = 8s;
    limits.tolerance = 0.1;
    limits.slack = TokenCount(140'000);
    return limits;
}

/// Instances that share one workspace's allowance by the status that they exchange, with callers that request a multiple of it.
class SharingFleet {
public:
    SharingFleet(std::size_t count, TokenRateLimit terms, Random& random, Mutation mutation = Mutation::None)
        : terms_(terms)
        , random_(random)
        , mutation_(mutation)
        , allowances_(count)
        , pendingDemand_(count)
        , versions_(count)
        , status_(count, [this](std::size_t index, TimePoint now) { return localStatus(index, now); })
    {
        for (std::size_t index = 0; index < count; ++index)
            allowances_[index] = makeAllowance(index);
    }

    std::size_t size() const { return allowances_.size(); }

    /// Runs callers that request `demand[i]` tokens per second at instance i, and returns the fraction that was refused.
    double run(Duration length, const std::vector<double>& demand, std::int64_t mean)
    {
        double requested = 0;
        double refused = 0;
        for (const auto end = status_.now() + length; status_.now() < end;) {
            status_.advance();
            const auto now = status_.now();
            for (std::size_t index = 0; index < size(); ++index) {
                if (status_.isFrozen(index))
                    continue;
                applyStatus(index);
                pendingDemand_[index] += demand[index] * std::chrono::duration<double>(StatusFleet::step).count();
                while (pendingDemand_[index] > 0) {
                    // One request in a hundred is ten times as large.
                    const auto size = randomBelow(random_, 100) == 0 ? 10 * mean : mean;
                    const auto tokens = 1 + static_cast<std::int64_t>(randomBelow(random_, static_cast<std::size_t>(2 * size)));
                    pendingDemand_[index] -= static_cast<double>(tokens);
                    requested += static_cast<double>(tokens);
                    if (allowances_[index].take(now, school, terms_, TokenCount(tokens)))
                        refused += static_cast<double>(tokens);
                    else
                        recordUse(now, tokens);
                }
            }
        }
        return refused / requested;
    }

    void cut(std::size_t from, std::size_t to, Duration length) { status_.cut(from, to, length); }
    void freeze(std::size_t index, Duration length) { status_.freeze(index, length); }

    void restart(std::size_t index)
    {
        status_.restart(index);
        allowances_[index] = makeAllowance(index);
        versions_[index] = 0;
    }

    /// The maximum number of tokens used in any window, as a share of what is permitted.
    double maxUse() const { return static_cast<double>(maxInWindow_) / permitted(); }

private:
    struct Use {
        TimePoint at;
        std::int64_t tokens;
    };

    FleetAllowance makeAllowance(std::size_t index) const
    {
        const auto uptime = mutation_ == Mutation::StartWithBurst ? Duration(1h) : Duration::zero();
        FleetAllowance allowance(limits(), status_.now() - uptime, index);
        allowance.setInstanceCount(allowances_.size());
        return allowance;
    }

    LocalStatus localStatus(std::size_t index, TimePoint now) const
    {
        LocalStatus status;
        status.uptime = allowances_[index].uptime(now);
        status.demands = allowances_[index].demands(now);
        return status;
    }

    void applyStatus(std::size_t index)
    {
        auto& exchange = status_.at(index);
        if (exchange.version() == versions_[index])
            return;
        versions_[index] = exchange.version();
        const auto known = exchange.status(status_.now());
        std::set<DemandSourceId> sources;
        for (const auto& [digest, acknowledgedAt] : known.regions) {
            const DemandSourceId source(digest.region.value());
            sources.insert(source);
            auto timeSinceOwnReport = acknowledgedAt ? std::optional(known.receivedAt - *acknowledgedAt) : std::nullopt;
            auto instances = static_cast<std::size_t>(digest.instances);
            if (mutation_ == Mutation::CountEveryone) {
                timeSinceOwnReport = Duration::zero();
                instances = size() - 1;
            }
            allowances_[index].onDemandReport(known.receivedAt, source, digest.demands, timeSinceOwnReport, digest.uptime, instances);
        }
        allowances_[index].retainSources(sources);
    }

    void recordUse(TimePoint now, std::int64_t tokens)
    {
        window_.push_back({ now, tokens });
        inWindow_ += tokens;
        while (window_.front().at + limits().window <= now) {
            inWindow_ -= window_.front().tokens;
            window_.pop_front();
        }
        maxInWindow_ = std::max(maxInWindow_, inWindow_);
    }

    double permitted() const
    {
        const auto allowance = terms_.rate.count() * 8 + static_cast<double>(terms_.burst.count());
        return allowance * 1.1 + 140'000;
    }

    TokenRateLimit terms_;
    Random& random_;
    Mutation mutation_;
    std::vector<FleetAllowance> allowances_;
    std::vector<double> pendingDemand_;
    std::vector<std::uint64_t> versions_;
    StatusFleet status_;
    std::deque<Use> window_;
    std::int64_t inWindow_ { 0 };
    std::int64_t maxInWindow_ { 0 };
};

std::vector<double> evenly(std::size_t count, double totalRate)
{
    return std::vector<double>(count, totalRate / static_cast<double>(count));
}

void injectFault(SharingFleet& fleet, Random& random)
{
    const auto one = randomBelow(random, fleet.size());
    const auto other = randomBelow(random, fleet.size());
    const auto length = std::chrono::milliseconds(500 + randomBelow(random, 6000));
    switch (randomBelow(random, 7)) {
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
    case 4:
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.restart(index);
        break;
    case 5:
        // A region is cut off.
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            for (std::size_t peer = 0; peer < fleet.size(); ++peer) {
                if (index % 3 == one % 3 && peer % 3 != one % 3) {
                    fleet.cut(index, peer, length);
                    fleet.cut(peer, index, length);
                }
            }
        }
        break;
    default:
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.cut(one, index, length);
            fleet.cut(index, one, length);
        }
    }
}

/// The maximum use over a schedule of faults under changing demand of up to five times the rate.
double maxUseUnderFaults(std::uint64_t seed, std::size_t count, Mutation mutation)
{
    Random random(seed);
    const auto& terms = randomBelow(random, 2) == 0 ? large : small;
    SharingFleet fleet(count, terms, random, mutation);
    for (int phase = 0; phase < 8; ++phase) {
        for (std::size_t faults = randomBelow(random, 4); faults > 0; --faults)
            injectFault(fleet, random);
        std::vector<double> demand;
        for (std::size_t index = 0; index < count; ++index)
            demand.push_back(terms.rate.count() * static_cast<double>(randomBelow(random, 50)) / 10 / static_cast<double>(count));
        fleet.run(std::chrono::milliseconds(500 + randomBelow(random, 4000)), demand, 3000);
    }
    return fleet.maxUse();
}

} // namespace

TEST(DisseminatedAllowance, RarelyRefusesDemandWithinTheRate)
{
    Random random(seedOfRun());
    for (const std::size_t count : { 9, 60, 300 }) {
        SharingFleet fleet(count, large, random);
        fleet.run(12s, evenly(count, large.rate.count() / 1.8), 3000);
        EXPECT_LT(fleet.run(10s, evenly(count, large.rate.count() / 1.8), 3000), 0.005) << count;
    }
}

TEST(DisseminatedAllowance, KeepsTheBoundUnderOverload)
{
    Random random(seedOfRun());
    for (const std::size_t count : { 9, 60, 300 }) {
        for (const auto& terms : { large, small }) {
            SharingFleet fleet(count, terms, random);
            fleet.run(12s, evenly(count, terms.rate.count() / 1.8), 3000);
            fleet.run(12s, evenly(count, terms.rate.count() * 5), 3000);
            EXPECT_LE(fleet.maxUse(), 1) << count;
        }
    }
}

TEST(DisseminatedAllowance, RandomFaultsNeverExceedTheBound)
{
    constexpr std::uint64_t cases = 300;
    forEachCase([](Random& random) { EXPECT_LE(maxUseUnderFaults(random(), randomBelow(random, 3) == 0 ? 30 : 9, Mutation::None), 1); }, cases);
}

TEST(DisseminatedAllowance, DetectsThatUnreachableInstancesAreCounted)
{
    EXPECT_TRUE(anyCaseSatisfies([](std::uint64_t seed) { return maxUseUnderFaults(seed, 9, Mutation::CountEveryone) > 1; }, 200));
}

TEST(DisseminatedAllowance, DetectsThatANewProcessStartsWithABurst)
{
    EXPECT_TRUE(anyCaseSatisfies([](std::uint64_t seed) { return maxUseUnderFaults(seed, 9, Mutation::StartWithBurst) > 1; }, 200));
}

} // namespace Ibisturn::Testing
