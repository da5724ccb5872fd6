#include "Benchmark.h"

#include <Tests/LibDecision/AllowanceFleet.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <unordered_map>

#include <malloc.h>

namespace Ibisturn::Benchmarks {

namespace {

constexpr std::size_t siteCount = 9;
constexpr std::size_t dataCentreCount = 3;
constexpr std::size_t sitesPerDataCentre = siteCount / dataCentreCount;
constexpr std::size_t seedCount = 5;
constexpr Duration warmUp = 200s;
constexpr Duration runLength = 600s;
constexpr Duration partitionStart = warmUp + 200s;
constexpr Duration wideAreaDelay = 55ms;
constexpr Duration localDelay = 2ms;

/// The limits of one workspace and the mean size of its requests in tokens.
struct WorkspaceShape {
    BucketLimits limits;
    double meanRequest;
};

/// Two large workspaces and three small ones, as in the users' deployment.
constexpr std::array<WorkspaceShape, 5> shapes { { { { TokensPerSecond(4000), TokenAmount(80000) }, 800 }, { { TokensPerSecond(1500), TokenAmount(30000) }, 800 },
    { { TokensPerSecond(300), TokenAmount(12000) }, 1000 }, { { TokensPerSecond(100), TokenAmount(8000) }, 1200 }, { { TokensPerSecond(60), TokenAmount(6000) }, 1000 } } };

struct Arrival {
    Duration at;
    std::size_t site;
    double amount;
    double used;
    Duration latency;
};

using ChooseSite = std::size_t (*)(std::mt19937_64& random, Duration at);

/// The callers of a workspace: the sites that they use, and their demand over time as a multiple of the workspace's rate.
struct Workload {
    const char* name;
    ChooseSite chooseSite;
    double (*load)(Duration at);
    bool hasPartition { false };
};

double uniform(std::mt19937_64& random)
{
    return std::uniform_real_distribution<>(0, 1)(random);
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t atOneSite(std::mt19937_64& /*random*/, Duration /*at*/) { return 4; }
std::size_t atAnySite(std::mt19937_64& random, Duration /*at*/) { return random() % siteCount; }

/// All callers use one data centre and move to the next one every two minutes.
std::size_t atMovingDataCentre(std::mt19937_64& random, Duration at)
{
    const auto dataCentre = static_cast<std::size_t>(at / 120s) % dataCentreCount;
    return dataCentre * sitesPerDataCentre + random() % sitesPerDataCentre;
}

/// The peak load moves from one data centre to the next, as it does over a day.
std::size_t byDailyPeaks(std::mt19937_64& random, Duration at)
{
    std::array<double, dataCentreCount> weights {};
    double sum = 0;
    for (std::size_t dataCentre = 0; dataCentre < dataCentreCount; ++dataCentre) {
        const double phase = 2 * std::numbers::pi * (secondsOf(at) / secondsOf(runLength) + static_cast<double>(dataCentre) / dataCentreCount);
        weights.at(dataCentre) = 1.1 + std::sin(phase);
        sum += weights.at(dataCentre);
    }
    double chosen = uniform(random) * sum;
    std::size_t dataCentre = 0;
    while (dataCentre + 1 < dataCentreCount && chosen > weights.at(dataCentre))
        chosen -= weights.at(dataCentre++);
    return dataCentre * sitesPerDataCentre + random() % sitesPerDataCentre;
}

double belowRate(Duration /*at*/) { return 0.8; }
double fiveTimesRate(Duration /*at*/) { return 5; }

/// 30 seconds above the rate in every two minutes, within what the burst capacity covers.
double inBursts(Duration at) { return at % 120s < 30s ? 1.2 : 0.6; }

/// The same, but exceeding the burst capacity.
double inLargeBursts(Duration at) { return at % 120s < 30s ? 1.6 : 0.5; }

constexpr std::array<Workload, 7> workloads { { { "one", atOneSite, belowRate }, { "nine", atAnySite, belowRate }, { "group", atMovingDataCentre, inBursts }, { "high-group", atMovingDataCentre, inLargeBursts },
    { "overload", atAnySite, fiveTimesRate }, { "peaks", byDailyPeaks, belowRate }, { "cut", atAnySite, belowRate, true } } };

std::vector<Arrival> makeArrivals(const Workload& workload, const WorkspaceShape& shape, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    Duration at = warmUp;
    while (at < warmUp + runLength) {
        // A reservation exceeds the usage, which is two thirds of it on average when it is settled.
        const double load = workload.load(at - warmUp);
        const double mean = shape.meanRequest * 2 / 3 / (shape.limits.rate.count() * load);
        at += Duration(static_cast<Duration::rep>(-std::log(1 - uniform(random)) * mean * 1e9));
        const double amount = shape.meanRequest * (0.25 + 1.5 * uniform(random));
        const double used = amount * (1.0 / 3 + 2.0 / 3 * uniform(random));
        arrivals.push_back({ at, workload.chooseSite(random, at - warmUp), amount, used, Duration(static_cast<Duration::rep>(used / 50 * 1e9)) });
    }
    return arrivals;
}

/// The reference: one exact bucket for the whole fleet, charged with what the policy under test admits. The same rule
/// applies to both: tokens that a request did not use count as if they had never been withdrawn.
class ExactBucket {
public:
    explicit ExactBucket(BucketLimits limits)
        : bucket_({ TokensPerSecond(limits.rate.count() * (1 + clockDriftBound)), limits.capacity }, TimePoint())
    {
        bucket_.deposit(limits.capacity);
    }

    std::optional<WithdrawalNumber> tryWithdraw(double amount, Duration at)
    {
        bucket_.advance(TimePoint(at));
        if (bucket_.level().count() < amount)
            return std::nullopt;
        return bucket_.withdraw(TokenAmount(amount));
    }

    WithdrawalNumber withdraw(double amount, Duration at)
    {
        bucket_.advance(TimePoint(at));
        return bucket_.withdraw(TokenAmount(amount));
    }

    void putBack(WithdrawalNumber number, double amount, Duration at)
    {
        bucket_.advance(TimePoint(at));
        bucket_.putBack(number, TokenAmount(amount));
    }

private:
    TokenBucket bucket_;
};

struct Result {
    std::uint64_t requests { 0 };
    std::uint64_t wrongfulRefusals { 0 };
    std::uint64_t bytes { 0 };
    std::uint64_t probeBytes { 0 };
    std::vector<double> waits;
    /// Requests and wrongful refusals at the partitioned data centre during the partition.
    std::uint64_t partitionRequests { 0 };
    std::uint64_t partitionWrongfulRefusals { 0 };
    /// The latest wrongful refusal after a move of the callers, in seconds since that move.
    double adaptationTime { 0 };
};

bool isPartitioned(const Workload& workload, const Arrival& arrival)
{
    return workload.hasPartition && arrival.at >= partitionStart && arrival.site < sitesPerDataCentre;
}

/// Counts one request that was admitted or refused. `isAdmittedByExact`: whether the exact bucket admitted it.
void count(Result& result, const Workload& workload, const Arrival& arrival, bool isAdmittedByExact, bool isAdmitted, double wait)
{
    const bool isWrongfulRefusal = isAdmittedByExact && !isAdmitted;
    ++result.requests;
    result.wrongfulRefusals += isWrongfulRefusal ? 1 : 0;
    if (isAdmitted)
        result.waits.push_back(wait);
    if (isPartitioned(workload, arrival)) {
        ++result.partitionRequests;
        result.partitionWrongfulRefusals += isWrongfulRefusal ? 1 : 0;
    }
    if (isWrongfulRefusal)
        result.adaptationTime = std::max(result.adaptationTime, secondsOf((arrival.at - warmUp) % 120s));
}

/// A policy that runs the product's decisions, or a static split of the allowance if there is no lending.
struct FleetPolicy {
    std::array<double, siteCount> weights;
    bool hasLending;
    /// Whether the callers of a data centre are directed to the instance with that data centre's share.
    bool isDirected;
};

Result runFleet(const FleetPolicy& policy, const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t seed)
{
    AllowanceFleet::Options options;
    for (std::size_t site = 0; site < siteCount; ++site)
        options.sites.push_back({ site / sitesPerDataCentre, policy.weights.at(site) });
    options.fleet = shape.limits;
    options.hasLending = policy.hasLending;
    AllowanceFleet fleet(std::move(options), seed);
    ExactBucket exact(shape.limits);
    Result result;
    std::vector<std::optional<WithdrawalNumber>> exactWithdrawals(arrivals.size());
    std::vector<std::size_t> sites(arrivals.size());
    fleet.observer.admitted = [&](ReservationId id) {
        const auto& arrival = arrivals[id.count()];
        const bool isAdmittedByExact = exactWithdrawals[id.count()].has_value();
        const auto number = isAdmittedByExact ? *exactWithdrawals[id.count()] : exact.withdraw(arrival.amount, fleet.now());
        count(result, workload, arrival, isAdmittedByExact, true, secondsOf(fleet.now() - arrival.at) * 1e3);
        fleet.at(fleet.now() + arrival.latency, [&, id, number] {
            exact.putBack(number, arrivals[id.count()].amount - arrivals[id.count()].used, fleet.now());
            fleet.settle(sites[id.count()], id, arrivals[id.count()].used);
        });
    };
    fleet.observer.refused = [&](ReservationId id) {
        const auto& arrival = arrivals[id.count()];
        if (exactWithdrawals[id.count()])
            exact.putBack(*exactWithdrawals[id.count()], arrival.amount, fleet.now());
        count(result, workload, arrival, exactWithdrawals[id.count()].has_value(), false, 0);
    };
    // Shares accrue tokens from the start, so the fleet is in a steady state when the first requests arrive.
    fleet.runUntil(warmUp);
    const auto bytesBefore = fleet.bytes();
    const auto probeBytesBefore = fleet.probeBytes();
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        fleet.at(arrivals[index].at, [&, index] {
            const auto& arrival = arrivals[index];
            sites[index] = policy.isDirected ? arrival.site / sitesPerDataCentre * sitesPerDataCentre : arrival.site;
            exactWithdrawals[index] = exact.tryWithdraw(arrival.amount, arrival.at);
            fleet.request(sites[index], ReservationId(index), arrival.amount);
        });
    }
    if (workload.hasPartition) {
        fleet.at(partitionStart, [&] {
            fleet.cut(0, 1);
            fleet.cut(0, 2);
        });
    }
    fleet.runUntil(warmUp + runLength);
    result.bytes = fleet.bytes() - bytesBefore;
    result.probeBytes = fleet.probeBytes() - probeBytesBefore;
    return result;
}

/// A single bucket at one instance of the second data centre; the other instances query it, or callers are directed to it.
Result runSingleBucket(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t bytesPerRequest)
{
    constexpr std::size_t bucketSite = 4;
    struct Settlement {
        Duration at;
        WithdrawalNumber number;
        double unused;
        bool operator<(const Settlement& other) const { return at > other.at; }
    };
    Result result;
    ExactBucket bucket(shape.limits);
    std::priority_queue<Settlement> settlements;
    for (const auto& arrival : arrivals) {
        const bool isSameDataCentre = arrival.site / sitesPerDataCentre == bucketSite / sitesPerDataCentre;
        const Duration wait = arrival.site == bucketSite ? Duration() : 2 * (isSameDataCentre ? localDelay : wideAreaDelay);
        while (!settlements.empty() && settlements.top().at <= arrival.at) {
            bucket.putBack(settlements.top().number, settlements.top().unused, settlements.top().at);
            settlements.pop();
        }
        const auto number = bucket.tryWithdraw(arrival.amount, arrival.at);
        const bool isAdmittedByExact = number.has_value();
        const bool isAdmitted = isAdmittedByExact && !isPartitioned(workload, arrival);
        if (isAdmitted)
            settlements.push({ arrival.at + arrival.latency, *number, arrival.amount - arrival.used });
        else if (isAdmittedByExact)
            bucket.putBack(*number, arrival.amount, arrival.at);
        count(result, workload, arrival, isAdmittedByExact, isAdmitted, secondsOf(wait) * 1e3);
        result.bytes += arrival.site == bucketSite ? 0 : bytesPerRequest;
    }
    return result;
}

constexpr std::array<double, siteCount> equalNinths { 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9, 1.0 / 9 };
constexpr std::array<double, siteCount> oneThirdPerDataCentre { 1.0 / 3, 0, 0, 1.0 / 3, 0, 0, 1.0 / 3, 0, 0 };

using RunPolicy = Result (*)(const Workload&, const WorkspaceShape&, const std::vector<Arrival>&, std::uint64_t);

Result runLendingNinths(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t seed)
{
    return runFleet({ equalNinths, true, false }, workload, shape, arrivals, seed);
}

Result runLendingThirds(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t seed)
{
    return runFleet({ oneThirdPerDataCentre, true, false }, workload, shape, arrivals, seed);
}

Result runDirectedLending(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t seed)
{
    return runFleet({ oneThirdPerDataCentre, true, true }, workload, shape, arrivals, seed);
}

Result runStatic(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t seed)
{
    return runFleet({ equalNinths, false, false }, workload, shape, arrivals, seed);
}

Result runGlobal(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t /*seed*/)
{
    return runSingleBucket(workload, shape, arrivals, 4 * 112);
}

Result runDirectedToOne(const Workload& workload, const WorkspaceShape& shape, const std::vector<Arrival>& arrivals, std::uint64_t /*seed*/)
{
    return runSingleBucket(workload, shape, arrivals, 0);
}

struct Policy {
    const char* name;
    RunPolicy run;
};

constexpr std::array<Policy, 6> policies { { { "directed-lending", runDirectedLending }, { "lending-thirds", runLendingThirds }, { "lending-ninths", runLendingNinths },
    { "static-ninths", runStatic }, { "global-bucket", runGlobal }, { "directed-to-one", runDirectedToOne } } };

struct Summary {
    double wrongfulShare;
    double worst;
    double partitionWrongfulShare;
    double adaptationSeconds;
    double bytesPerNode;
    double waitMedian;
    double waitTail;
};

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

Summary summarise(const Policy& policy, const Workload& workload, std::uint64_t seed)
{
    Result sum;
    double worst = 0;
    for (std::size_t index = 0; index < shapes.size(); ++index) {
        const auto arrivals = makeArrivals(workload, shapes.at(index), seed * 31 + index);
        auto result = policy.run(workload, shapes.at(index), arrivals, seed * 31 + index);
        worst = std::max(worst, static_cast<double>(result.wrongfulRefusals) / static_cast<double>(std::max<std::uint64_t>(1, result.requests)));
        sum.requests += result.requests;
        sum.wrongfulRefusals += result.wrongfulRefusals;
        sum.partitionRequests += result.partitionRequests;
        sum.partitionWrongfulRefusals += result.partitionWrongfulRefusals;
        sum.bytes += result.bytes;
        // Probes are sent per instance and not per workspace, so their bytes are counted once.
        sum.probeBytes = result.probeBytes;
        sum.adaptationTime = std::max(sum.adaptationTime, result.adaptationTime);
        sum.waits.insert(sum.waits.end(), result.waits.begin(), result.waits.end());
    }
    const auto share = [](std::uint64_t part, std::uint64_t total) { return total == 0 ? 0 : static_cast<double>(part) / static_cast<double>(total); };
    return { share(sum.wrongfulRefusals, sum.requests), worst, share(sum.partitionWrongfulRefusals, sum.partitionRequests), sum.adaptationTime,
        static_cast<double>(sum.bytes + sum.probeBytes) / siteCount / secondsOf(runLength), percentile(sum.waits, 0.5), percentile(sum.waits, 0.99) };
}

struct SummaryMetric {
    const char* name;
    double Summary::*value;
};

constexpr std::array<SummaryMetric, 7> summaryMetrics { { { "wrongful", &Summary::wrongfulShare }, { "worst_workspace", &Summary::worst },
    { "cut_off_wrongful", &Summary::partitionWrongfulShare }, { "follow_seconds", &Summary::adaptationSeconds }, { "node_bytes_per_second", &Summary::bytesPerNode },
    { "wait_p50_ms", &Summary::waitMedian }, { "wait_p99_ms", &Summary::waitTail } } };

/// Prints the values of each policy for each seed, with those of the static split as the baseline.
void measurePolicies(std::uint64_t seed)
{
    for (const auto& workload : workloads) {
        for (std::uint64_t number = 0; number < seedCount; ++number) {
            const auto baseline = summarise({ "static-ninths", runStatic }, workload, seed + number);
            for (const auto& policy : policies) {
                const auto summary = summarise(policy, workload, seed + number);
                for (const auto& metric : summaryMetrics)
                    print({ fmt::format("allowance.{}.{}", workload.name, policy.name), metric.name, summary.*metric.value, baseline.*metric.value, seed + number });
            }
        }
    }
}

constexpr std::size_t workspaceCount = 1400;
constexpr std::size_t decisionCount = 1'000'000;

AllowanceSettings costSettings(std::size_t number)
{
    AllowanceSettings settings;
    settings.workspace = WorkspaceId(fmt::format("workspace-{}", number));
    settings.self = { InstanceId("khomas-1"), Incarnation(1) };
    settings.lenders = { InstanceId("omaheke-1"), InstanceId("erongo-1") };
    settings.fleet = { TokensPerSecond(3e9), TokenAmount(3e9) };
    settings.share = { TokensPerSecond(1e9), TokenAmount(1e9) };
    settings.lending = { 10s };
    settings.maxWait = 400ms;
    return settings;
}

using AllowanceTable = std::unordered_map<WorkspaceId, WorkspaceAllowance>;

/// The time of one reservation and its settlement, with many requests in flight.
double decisionNanoseconds(std::size_t workspaces, std::uint64_t seed)
{
    constexpr std::uint64_t inFlight = 4096;
    AddressOwnership ownership({ 5s, 10s });
    TimePoint now(1h);
    ownership.completeProbe(ownership.beginProbe(now), now);
    AllowanceTable table;
    std::vector<WorkspaceId> names;
    for (std::size_t number = 0; number < workspaces; ++number) {
        auto settings = costSettings(number);
        names.push_back(settings.workspace);
        table.emplace(settings.workspace, WorkspaceAllowance(settings, ownership));
    }
    for (int probe = 0; probe < 20; ++probe) {
        now += 1s;
        ownership.completeProbe(ownership.beginProbe(now), now);
    }
    std::mt19937_64 random(seed);
    std::vector<std::size_t> order(decisionCount);
    std::generate(order.begin(), order.end(), [&] { return random() % workspaces; });
    std::uint64_t admitted = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t number = 0; number < decisionCount; ++number) {
        now += 1us;
        admitted += table.at(names[order[number]]).reserve(ReservationId(number), TokenAmount(800), now).size();
        if (number >= inFlight)
            table.at(names[order[number - inFlight]]).settle(ReservationId(number - inFlight), TokenAmount(500), now);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return admitted == 0 ? 0 : elapsed.count() / static_cast<double>(decisionCount);
}

double bytesPerWorkspace()
{
    const AddressOwnership ownership({ 5s, 10s });
    const auto before = mallinfo2().uordblks;
    std::vector<std::unique_ptr<WorkspaceAllowance>> allowances;
    for (std::size_t number = 0; number < workspaceCount; ++number)
        allowances.push_back(std::make_unique<WorkspaceAllowance>(costSettings(number), ownership));
    return static_cast<double>(mallinfo2().uordblks - before) / workspaceCount;
}

void measureCost(std::uint64_t seed)
{
    const double small = decisionNanoseconds(workspaceCount / 10, seed);
    print({ "allowance.cost", "reserve_and_settle_ns", decisionNanoseconds(workspaceCount, seed), small, seed });
    print({ "allowance.cost", "bytes_per_workspace", bytesPerWorkspace(), 0, seed });
}

void measureAllowance(std::uint64_t seed)
{
    measureCost(seed);
    measurePolicies(seed);
}

const BenchmarkRegistration registration("allowance", measureAllowance);

} // namespace

} // namespace Ibisturn::Benchmarks
