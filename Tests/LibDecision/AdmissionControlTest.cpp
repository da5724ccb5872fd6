#include <LibDecision/Admission/AdmissionControl.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr std::uint64_t defaultSeed = 20261204;

BackendPool makePool(std::size_t servers, std::uint32_t limit)
{
    std::vector<BackendServerId> names;
    for (std::size_t index = 0; index < servers; ++index)
        names.emplace_back("engine-" + std::to_string(index));
    return { names, limit, limit };
}

AdmissionControl makeControl(std::size_t servers, std::uint32_t limit, FairQueueLimits limits = {})
{
    return { makePool(servers, limit), std::make_unique<LeastLoadedStrategy>(), limits };
}

AdmissionRequest makeRequest(std::uint64_t id, const std::string& workspace, TimePoint deadline)
{
    return { RequestId(id), WorkspaceId(workspace), TokenCount(100), deadline, { id, id } };
}

std::uint64_t readSeed()
{
    const auto* text = std::getenv("IBISTURN_SEED"); // NOLINT: one thread
    const auto seed = text ? std::strtoull(text, nullptr, 10) : defaultSeed;
    std::cout << "IBISTURN_SEED=" << seed << "\n";
    return seed;
}

/// Checks the invariants of the returned actions: each request is answered once, and no backend server exceeds its limit.
class ActionObserver {
public:
    explicit ActionObserver(std::uint32_t limit)
        : limit_(limit)
    {
    }

    void arrived(std::uint64_t id) { waiting_.insert(id); }
    void cancelled(std::uint64_t id) { waiting_.erase(id); }
    void finished(std::uint64_t id)
    {
        --inFlight_[running_.at(id)];
        running_.erase(id);
    }

    void observe(const std::vector<AdmissionAction>& actions)
    {
        for (const auto& action : actions) {
            const auto* dispatch = std::get_if<DispatchAction>(&action);
            const auto id = dispatch ? dispatch->request.count() : std::get<RefuseAction>(action).request.count();
            ASSERT_EQ(waiting_.erase(id), 1U) << "request " << id << " was answered twice or never arrived";
            if (!dispatch)
                continue;
            running_[id] = dispatch->server;
            ASSERT_LE(++inFlight_[dispatch->server], limit_) << "backend server " << dispatch->server << " exceeds its limit";
        }
    }

    const std::map<std::uint64_t, BackendPool::Index>& running() const { return running_; }
    std::size_t waiting() const { return waiting_.size(); }

private:
    std::uint32_t limit_;
    std::set<std::uint64_t> waiting_;
    std::map<std::uint64_t, BackendPool::Index> running_;
    std::map<BackendPool::Index, std::uint32_t> inFlight_;
};

void runSchedule(std::uint64_t seed)
{
    constexpr std::uint32_t limit = 3;
    std::mt19937_64 random(seed);
    auto control = makeControl(1 + random() % 3, limit, { .requests = 12, .requestsPerWorkspace = 5 });
    ActionObserver observer(limit);
    TimePoint now = start;
    const auto finishOne = [&] {
        const auto chosen = std::next(observer.running().begin(), static_cast<std::ptrdiff_t>(random() % observer.running().size()));
        const auto id = chosen->first;
        const auto signal = random() % 8 == 0 ? ServiceSignal::Overloaded : ServiceSignal::Answered;
        observer.finished(id);
        observer.observe(control.finish(now, RequestId(id), std::chrono::milliseconds(20 + random() % 200), signal));
    };
    std::uint64_t next = 0;
    for (int step = 0; step < 40; ++step) {
        now += std::chrono::milliseconds(random() % 300);
        switch (random() % 5) {
        case 0:
        case 1:
            observer.arrived(++next);
            observer.observe(control.arrive(now, makeRequest(next, "w" + std::to_string(random() % 3), now + std::chrono::milliseconds(random() % 2000))));
            break;
        case 2:
            if (!observer.running().empty())
                finishOne();
            break;
        case 3:
            control.pool().report(now, 0, { now - std::chrono::milliseconds(random() % 600), static_cast<std::uint32_t>(random() % 6), static_cast<std::uint32_t>(random() % 3) });
            observer.observe(control.advance(now));
            break;
        default:
            control.pool().setAvailable(0, random() % 2 == 0);
            observer.observe(control.advance(now));
        }
    }
    // Every request must be answered once its deadline has passed, whatever the schedule was.
    control.pool().setAvailable(0, true);
    while (!observer.running().empty())
        finishOne();
    now += std::chrono::seconds(10);
    observer.observe(control.advance(now));
    EXPECT_EQ(observer.waiting(), 0U);
    EXPECT_EQ(control.waiting(), 0U);
}

} // namespace

TEST(AdmissionControl, EachRequestIsAnsweredOnceWithinTheLimitsInRandomSchedules)
{
    const auto seed = readSeed();
    for (std::uint64_t schedule = 0; schedule < 10000; ++schedule) {
        runSchedule(seed + schedule);
        ASSERT_FALSE(HasFailure()) << "schedule " << schedule;
    }
}

TEST(AdmissionControl, RequestThatCannotMeetItsDeadlineIsRefusedBeforeItRuns)
{
    auto control = makeControl(1, 1);
    const auto first = control.arrive(start, makeRequest(1, "a", start + std::chrono::seconds(9)));
    ASSERT_TRUE(std::holds_alternative<DispatchAction>(first.front()));
    EXPECT_TRUE(control.arrive(start, makeRequest(2, "a", start + std::chrono::seconds(1))).empty());
    const auto late = control.advance(start + std::chrono::seconds(2));
    ASSERT_EQ(late.size(), 1U);
    const auto& refusal = std::get<RefuseAction>(late.front());
    EXPECT_EQ(refusal.code, ResultCode::DeadlineUnreachable);
    EXPECT_GT(refusal.retryAfter, Duration::zero());
}

TEST(AdmissionControl, UnavailableBackendServerGetsNoNewRequests)
{
    auto control = makeControl(2, 2);
    control.pool().setAvailable(0, false);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        const auto actions = control.arrive(start, makeRequest(id, "a", start + std::chrono::seconds(9)));
        EXPECT_EQ(std::get<DispatchAction>(actions.front()).server, 1U);
    }
    EXPECT_TRUE(control.arrive(start, makeRequest(3, "a", start + std::chrono::seconds(9))).empty());
}

TEST(AdmissionControl, IdleWorkspaceUsesReservedSlots)
{
    auto control = makeControl(1, 100);
    control.pool().report(start, 0, { start, 17, 1 });
    control.pool().report(start, 0, { start + std::chrono::milliseconds(1), 14, 0 });
    EXPECT_TRUE(control.arrive(start, makeRequest(1, "small", start + std::chrono::seconds(9))).size() == 1U);
    // The workspace has a request running now, so its next one must not use the reserved slots.
    EXPECT_TRUE(control.arrive(start, makeRequest(2, "small", start + std::chrono::seconds(9))).empty());
    const auto other = control.arrive(start, makeRequest(3, "other", start + std::chrono::seconds(9)));
    ASSERT_EQ(other.size(), 1U);
    EXPECT_EQ(std::get<DispatchAction>(other.front()).priority, EnginePriority::High);
}

TEST(BackendPool, SentRequestsCountUntilAReportIncludesThem)
{
    auto pool = makePool(2, 100);
    pool.begin(start, 0);
    pool.begin(start, 0);
    EXPECT_EQ(pool.load(0), 2U);
    EXPECT_EQ(pool.leastLoaded(CapacityClass::Ordinary), 1U);
    // Taken before the requests were sent, so it doesn't include them.
    pool.report(start, 0, { start - std::chrono::milliseconds(500), 5, 0 });
    EXPECT_EQ(pool.load(0), 7U);
    pool.report(start, 0, { start + std::chrono::milliseconds(500), 4, 0 });
    EXPECT_EQ(pool.load(0), 4U);
    pool.report(start, 0, { start + std::chrono::milliseconds(200), 9, 0 });
    EXPECT_EQ(pool.load(0), 4U) << "a report that comes out of order is ignored";
}

TEST(BackendPool, AffinitySkipsAnOwnerWhoseLoadIsFarAboveTheMean)
{
    auto pool = makePool(4, 1000);
    PrefixAffinityStrategy strategy(1.25);
    const PoolQuery query { 1, 42 };
    const auto owner = *strategy.choose(pool, query);
    EXPECT_EQ(strategy.choose(pool, query), owner);
    for (int count = 0; count < 20; ++count)
        pool.begin(start, owner);
    EXPECT_NE(strategy.choose(pool, query), owner);
}

TEST(ConcurrencyLimit, ShrinksWhileTheBackendServerQueuesAndGrowsAfterwards)
{
    ConcurrencyLimit limit(16, 64);
    TimePoint now = start;
    for (int second = 0; second < 10; ++second) {
        now += std::chrono::seconds(1);
        limit.report(now, 5);
    }
    const auto shrunk = limit.limit();
    EXPECT_LT(shrunk, 8U);
    limit.report(now, 0);
    for (int count = 0; count < 200; ++count) {
        limit.report(now, 0);
        limit.finish(now, std::chrono::milliseconds(50), limit.limit(), ServiceSignal::Answered);
    }
    EXPECT_GT(limit.limit(), shrunk);
}

} // namespace Ibisturn
