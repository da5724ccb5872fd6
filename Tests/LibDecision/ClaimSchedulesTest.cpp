#include "FakeClaimStore.h"

#include <LibDecision/Claims/ClaimTable.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int scheduleCount = 10'000;
constexpr Duration retention = seconds(60);
constexpr Duration window = seconds(10);
constexpr std::size_t instanceCount = 3;

enum class OwnerChecks : std::uint8_t {
    DispatchWindow,
    Nothing,
};

/// The safety mechanisms that are enabled.
struct Mechanisms {
    StoreChecks store { StoreChecks::Revisions };
    OwnerChecks owner { OwnerChecks::DispatchWindow };
};

/// A caller's request and the result that the caller received.
struct CallerView {
    ClaimId id;
    std::string body;
    std::optional<std::string> answer;
    std::optional<Ran> refusal;
};

/// One run as recorded by the backend server.
struct Run {
    ClaimId id;
    std::uint64_t attempt { 0 };
    std::string answer;
    TimePoint at;
};

/// Simulates the claim tables of several instances with a store, a backend server and callers, and faults between them.
class Schedule {
public:
    Schedule(std::uint64_t seed, Mechanisms mechanisms)
        : random_(seed)
        , mechanisms_(mechanisms)
        , store_(retention, mechanisms.store)
    {
        limits_.dispatchWindow = window;
        limits_.maxClaims = pick(4) == 0 ? 2 : 100;
        for (auto& instance : instances_)
            restart(instance);
    }

    void run()
    {
        for (std::uint64_t subject = 0; subject < 4; ++subject)
            at(upTo(seconds(3)), [this, subject] { scheduleAttempts(subject); });
        for (auto& instance : instances_)
            tick(instance);
        for (int fault = 0; fault < 4; ++fault)
            at(upTo(seconds(6)), [this] { injectFault(); });
        while (!events_.empty()) {
            const auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    const std::vector<CallerView>& callers() const { return callers_; }
    const std::vector<Run>& runs() const { return runs_; }

private:
    struct Node {
        std::unique_ptr<ClaimTable> table;
        ClaimOwner self;
        TimePoint frozenUntil {};
        bool isCutOff { false };
    };

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool happens(unsigned percent) { return pick(100) < percent; }
    Duration upTo(Duration limit) { return Duration(static_cast<std::int64_t>(pick(static_cast<std::uint64_t>(limit.count())))); }
    void at(Duration delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }

    void restart(Node& node)
    {
        const auto name = std::to_string(&node - instances_.data());
        node.self = { InstanceId("instance-" + name), Incarnation(++lastIncarnation_) };
        node.table = std::make_unique<ClaimTable>(node.self, limits_);
        node.frozenUntil = now_;
    }

    // Schedules an event of one incarnation: dropped if the instance restarted meanwhile, delayed while it is frozen.
    void inIncarnation(Node& node, Duration delay, std::function<void()> event)
    {
        const auto incarnation = node.self.incarnation;
        at(delay, [this, &node, incarnation, event = std::move(event)] {
            if (node.self.incarnation != incarnation)
                return;
            if (node.frozenUntil > now_)
                return inIncarnation(node, node.frozenUntil - now_, event);
            event();
        });
    }

    void tick(Node& node)
    {
        if (now_ > TimePoint(seconds(200)))
            return;
        if (node.frozenUntil <= now_)
            perform(node, node.table->tick(now_));
        at(milliseconds(50), [this, &node] { tick(node); });
    }

    void injectFault()
    {
        auto& node = instances_.at(pick(instanceCount));
        switch (pick(4)) {
        case 0:
            return restart(node);
        case 1:
            node.frozenUntil = now_ + upTo(seconds(8));
            return;
        case 2:
            node.frozenUntil = now_ + retention + upTo(seconds(20));
            return;
        default:
            node.isCutOff = true;
            at(upTo(seconds(10)), [&node] { node.isCutOff = false; });
        }
    }

    // Both workspaces use the same idempotency keys.
    void scheduleAttempts(std::uint64_t subject)
    {
        ClaimId id { WorkspaceId(subject % 2 == 0 ? "guides" : "drivers"), IdempotencyKey("booking-" + std::to_string(subject / 2)) };
        if (happens(25))
            id.key = instances_.at(pick(instanceCount)).table->issueKey(id.workspace);
        const auto attempts = 1 + pick(4);
        for (std::uint64_t attempt = 0; attempt < attempts; ++attempt)
            at(upTo(happens(30) ? seconds(100) : seconds(5)), [this, id] { call(id); });
    }

    void call(const ClaimId& id)
    {
        // Callers retry only within the retention.
        for (const auto& run : runs_) {
            if (run.id == id && now_ > run.at + retention - 2 * window)
                return;
        }
        auto& node = instances_.at(pick(instanceCount));
        callers_.push_back({ id, happens(10) ? "other body" : "body", {}, {} });
        const ClaimAttemptId attempt(callers_.size() - 1);
        request(node, attempt, ClaimScope::ClaimIfUnclaimed);
    }

    // A caller waiting for a frozen instance closes the connection before the retention can end.
    void request(Node& node, ClaimAttemptId attempt, ClaimScope scope)
    {
        inIncarnation(node, upTo(milliseconds(120)), [this, &node, attempt, scope, sent = now_] {
            if (now_ - sent < window)
                begin(node, attempt, scope);
        });
    }

    void begin(Node& node, ClaimAttemptId attempt, ClaimScope scope)
    {
        const auto& caller = callers_.at(attempt.count());
        perform(node, node.table->begin(now_, { attempt, caller.id, caller.body, scope }));
    }

    void perform(Node& node, const ClaimActions& actions)
    {
        for (const auto& action : actions)
            std::visit([this, &node](const auto& one) { apply(node, one); }, action);
    }

    void apply(Node& /*node*/, const AnswerAttempt& action) { callers_.at(action.attempt.count()).answer = action.answer.body; }
    void apply(Node& /*node*/, const RefuseAttempt& action) { callers_.at(action.attempt.count()).refusal = action.ran; }

    void apply(Node& node, const ForwardToOwner& action)
    {
        const auto isOwner = [&action](const Node& other) { return other.self.instance == action.owner.instance; };
        auto& owner = *std::find_if(instances_.begin(), instances_.end(), isOwner);
        if (node.isCutOff || owner.isCutOff || happens(10))
            return apply(node, RefuseAttempt { action.attempt });
        request(owner, action.attempt, ClaimScope::OwnClaimsOnly);
    }

    void apply(Node& node, const WriteClaims& action)
    {
        const bool isDropped = node.isCutOff || happens(5);
        const bool isLost = isDropped || happens(15);
        const auto reply = [this, &node, batch = action.batch](const BatchResult& result) { perform(node, node.table->onBatchReply(now_, batch, result)); };
        if (isDropped && happens(50))
            return inIncarnation(node, upTo(milliseconds(200)), [reply] { reply(BatchRefused {}); });
        if (isLost)
            inIncarnation(node, upTo(seconds(2)), [reply] { reply(BatchReplyLost {}); });
        if (isDropped)
            return;
        // A transaction whose reply is lost may take effect long after the instance abandoned it.
        at(upTo(happens(10) ? seconds(15) : milliseconds(300)), [this, &node, reply, isLost, writes = action.writes, incarnation = node.self.incarnation] {
            const auto result = store_.transact(now_, writes);
            // The reply is sent on the connection of the request, which was closed when its instance ended.
            if (isLost || node.self.incarnation != incarnation)
                return;
            const auto copies = happens(10) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                inIncarnation(node, upTo(milliseconds(300)), [reply, result] { reply(result); });
        });
    }

    void apply(Node& node, const DispatchAttempt& action)
    {
        if (happens(2))
            node.frozenUntil = now_ + retention + upTo(seconds(20));
        inIncarnation(node, upTo(milliseconds(20)), [this, &node, action] { dispatch(node, action); });
    }

    void dispatch(Node& node, const DispatchAttempt& action)
    {
        auto& caller = callers_.at(action.attempt.count());
        const bool isConfirmed = node.table->confirmDispatch(now_, action.id) || mechanisms_.owner == OwnerChecks::Nothing;
        if (!isConfirmed || happens(5)) {
            caller.refusal = Ran::No;
            return perform(node, node.table->fail(now_, action.id, { ResultCode::BackendUnreachable, Ran::No }));
        }
        at(upTo(milliseconds(50)), [this, &node, action, incarnation = node.self.incarnation] {
            const std::string answer = "run " + std::to_string(runs_.size());
            runs_.push_back({ action.id, action.attempt.count(), answer, now_ });
            if (node.self.incarnation == incarnation)
                inIncarnation(node, upTo(seconds(1)), [this, &node, action, answer] { end(node, action, answer); });
        });
    }

    void end(Node& node, const DispatchAttempt& action, const std::string& answer)
    {
        auto& caller = callers_.at(action.attempt.count());
        if (happens(10)) {
            caller.refusal = Ran::Unknown;
            return perform(node, node.table->fail(now_, action.id, { ResultCode::OutcomeUnknown, Ran::Unknown }));
        }
        caller.answer = answer;
        perform(node, node.table->finish(now_, action.id, StoredAnswer { 200, "text/plain", answer }));
    }

    std::mt19937_64 random_;
    Mechanisms mechanisms_;
    ClaimLimits limits_;
    FakeClaimStore store_;
    TimePoint now_ { seconds(1) };
    std::multimap<TimePoint, std::function<void()>> events_;
    std::array<Node, instanceCount> instances_;
    std::uint64_t lastIncarnation_ { 0 };
    std::vector<CallerView> callers_;
    std::vector<Run> runs_;
};

/// Returns the faults found in one schedule, judged only by the runs and the callers' answers.
std::vector<std::string> check(const std::vector<Run>& runs, const std::vector<CallerView>& callers)
{
    std::vector<std::string> faults;
    std::map<ClaimId, const Run*> runOf;
    for (const auto& run : runs) {
        if (!runOf.emplace(run.id, &run).second)
            faults.push_back(run.id.key.value() + " ran again");
        if (callers.at(run.attempt).refusal == Ran::No)
            faults.push_back(run.id.key.value() + " ran though its attempt was refused as not run");
    }
    for (const auto& caller : callers) {
        if (!caller.answer)
            continue;
        const auto run = runOf.find(caller.id);
        if (run == runOf.end() || run->second->answer != *caller.answer || callers.at(run->second->attempt).body != caller.body)
            faults.push_back(caller.id.key.value() + " got another request's answer");
    }
    return faults;
}

std::uint64_t firstSeed()
{
    const char* text = std::getenv("IBISTURN_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 20261204;
}

/// Sums over all schedules.
struct Totals {
    std::uint64_t faulty { 0 };
    std::uint64_t runs { 0 };
    std::uint64_t answers { 0 };
    std::uint64_t unknown { 0 };
    std::string firstFault;
};

Totals runSchedules(Mechanisms mechanisms)
{
    Totals totals;
    const auto seed = firstSeed();
    for (std::uint64_t number = 0; number < scheduleCount; ++number) {
        Schedule schedule(seed + number, mechanisms);
        schedule.run();
        const auto faults = check(schedule.runs(), schedule.callers());
        if (!faults.empty() && totals.firstFault.empty())
            totals.firstFault = "seed " + std::to_string(seed + number) + ": " + faults.front();
        totals.faulty += faults.empty() ? 0 : 1;
        totals.runs += schedule.runs().size();
        for (const auto& caller : schedule.callers()) {
            totals.answers += caller.answer ? 1 : 0;
            totals.unknown += caller.refusal == Ran::Unknown ? 1 : 0;
        }
    }
    fmt::print("schedules={} seed={} faulty={} runs={} answers={} unknown={} {}\n", scheduleCount, seed, totals.faulty, totals.runs, totals.answers,
        totals.unknown, totals.firstFault);
    return totals;
}

} // namespace

TEST(ClaimSchedules, EachKeyRunsAtMostOnceAndAnswersAreCorrect)
{
    const auto totals = runSchedules({});
    EXPECT_EQ(totals.faulty, 0U) << totals.firstFault;
    // Refusing everything would also be safe.
    EXPECT_GT(totals.runs, 2U * scheduleCount);
    EXPECT_GT(totals.answers, totals.runs);
}

TEST(ClaimSchedules, CheckerDetectsAStoreWithoutCompareAndSwap)
{
    EXPECT_GT(runSchedules({ StoreChecks::Nothing, OwnerChecks::DispatchWindow }).faulty, 0U);
}

TEST(ClaimSchedules, CheckerDetectsAFrozenOwnerThatIgnoresTheDispatchWindow)
{
    EXPECT_GT(runSchedules({ StoreChecks::Revisions, OwnerChecks::Nothing }).faulty, 0U);
}

} // namespace Ibisturn
