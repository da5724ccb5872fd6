#include "../Support/Cases.h"
#include "StatusFleet.h"

#include <LibDecision/Quarantine/PromptQuarantine.h>

#include <algorithm>
#include <random>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t mutatedSchedules = 10;
constexpr std::size_t serverCount = 15;
constexpr Duration step = 10ms;
constexpr Duration simulatedTime = 30s;
/// Instances must refuse requests with a crashing part this long after five servers have crashed on it; a few in flight are
/// permitted.
constexpr std::size_t crashesBeforeBound = 5;
constexpr Duration reactionTime = 5s;
constexpr std::size_t permittedLate = 3;
/// The share of sound requests that may be refused, because a part of theirs is wrongly suspected while servers crash in groups.
constexpr double permittedRefusals = 0.02;

constexpr std::uint64_t deadlyPart = 1;
constexpr std::uint64_t sharedPart = 2;
const ServiceId model("model");

enum class Mutation : std::uint8_t {
    None,
    /// Instances do not share their evidence.
    KeepEvidence,
    /// Requests that are answered do not clear the parts of their prompts.
    IgnoreAnswers,
};

/// Instances in three regions, and servers that crash when they begin to answer a request with one prompt part, take all their
/// requests with them, and return after some seconds. Other servers crash or lose power in groups, and instances restart.
class QuarantineSimulation {
public:
    struct Result {
        std::size_t lateDeadly { 0 };
        std::size_t sound { 0 };
        std::size_t refusedSound { 0 };
        std::size_t crashes { 0 };
    };

    QuarantineSimulation(std::uint64_t seed, std::size_t instances, double deadlyPerSecond, Mutation mutation)
        : random_(seed)
        , mutation_(mutation)
        , deadlyPerSecond_(deadlyPerSecond)
        , quarantines_(instances)
        , fleet_(instances, [this](std::size_t index, TimePoint now) { return localStatus(index, now); })
        , servers_(serverCount)
    {
    }

    Result run()
    {
        for (const auto end = fleet_.now() + simulatedTime; fleet_.now() < end;) {
            fleet_.run(step);
            const auto now = fleet_.now();
            crashGroups();
            if (chance(0.002))
                quarantines_[randomIndex(quarantines_.size())] = {};
            for (std::size_t count = arrivals(0.6); count > 0; --count)
                send(false);
            for (std::size_t count = arrivals(deadlyPerSecond_ / 100); count > 0; --count)
                send(true);
            advanceServers();
            if (now >= nextUpdate_) {
                nextUpdate_ = now + 50ms;
                updateQuarantines();
            }
        }
        return result_;
    }

private:
    struct Running {
        std::size_t instance { 0 };
        PlacementQuery query;
        bool isDeadly { false };
        TimePoint beginsAt;
        TimePoint endsAt;
        std::size_t attempt { 1 };
    };
    struct Server {
        int incarnation { 0 };
        TimePoint downUntil {};
        std::vector<Running> running;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    std::size_t arrivals(double mean) { return static_cast<std::size_t>(std::poisson_distribution<>(mean)(random_)); }
    std::size_t randomIndex(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
    Duration randomDuration(Duration max) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(max.count()))); }

    LocalStatus localStatus(std::size_t index, TimePoint now)
    {
        LocalStatus status;
        status.uptime = 1h;
        status.evidence = quarantines_[index].ownEvidence(now);
        if (mutation_ == Mutation::IgnoreAnswers)
            status.evidence.answers.clear();
        return status;
    }

    void send(bool isDeadly)
    {
        Running request;
        request.instance = randomIndex(quarantines_.size());
        request.isDeadly = isDeadly;
        request.query.service = model;
        request.query.requestHash = random_();
        // A session's requests share a part that few others have.
        request.query.prompt = { { sharedPart, TokenCount(1000) }, { 100 + random_() % 200, TokenCount(1000) } };
        if (isDeadly)
            request.query.prompt.push_back({ deadlyPart, TokenCount(100) });
        request.query.prompt.push_back({ random_(), TokenCount(100) });
        result_.sound += isDeadly ? 0 : 1;
        place(std::move(request));
    }

    void place(Running request)
    {
        const auto now = fleet_.now();
        auto& quarantine = quarantines_[request.instance];
        if (quarantine.findQuarantined(now, request.query)) {
            result_.refusedSound += request.isDeadly ? 0 : 1;
            return;
        }
        if (request.attempt > 1 && !quarantine.mayRetry(request.query))
            return;
        for (std::size_t tries = 0; tries < serverCount; ++tries) {
            auto& server = servers_[randomIndex(serverCount)];
            if (now < server.downUntil)
                continue;
            if (request.isDeadly && fifthCrashAt_ && now > *fifthCrashAt_ + reactionTime)
                ++result_.lateDeadly;
            request.beginsAt = now + 30ms + randomDuration(200ms);
            request.endsAt = request.beginsAt + 100ms + randomDuration(2s);
            server.running.push_back(std::move(request));
            return;
        }
    }

    void crashGroups()
    {
        if (!chance(0.002))
            return;
        for (std::size_t index = 0; index < serverCount; ++index) {
            if (chance(0.5))
                crash(index, randomDuration(30ms));
        }
    }

    void advanceServers()
    {
        const auto now = fleet_.now();
        for (std::size_t index = 0; index < serverCount; ++index) {
            auto& running = servers_[index].running;
            const auto isTrigger = [now](const Running& request) { return request.isDeadly && now >= request.beginsAt; };
            if (std::any_of(running.begin(), running.end(), isTrigger)) {
                if (++result_.crashes == crashesBeforeBound)
                    fifthCrashAt_ = now;
                crash(index, {});
                continue;
            }
            for (const auto& request : running) {
                if (now >= request.endsAt && mutation_ != Mutation::IgnoreAnswers)
                    quarantines_[request.instance].onAnswered(now, request.query);
            }
            std::erase_if(running, [now](const Running& request) { return now >= request.endsAt; });
        }
    }

    void crash(std::size_t index, Duration delay)
    {
        const auto now = fleet_.now();
        auto& server = servers_[index];
        const BackendServerId id(fmt::format("s{}-{}", index, server.incarnation++));
        server.downUntil = now + 2s + randomDuration(3s);
        for (auto& request : std::exchange(server.running, {})) {
            auto& quarantine = quarantines_[request.instance];
            if (now - request.beginsAt > 500ms)
                quarantine.onAnswered(now, request.query);
            else
                quarantine.onServerLost(now + delay, id, StartTime(1), request.query);
            if (++request.attempt <= 3)
                place(std::move(request));
        }
    }

    void updateQuarantines()
    {
        const auto now = fleet_.now();
        for (std::size_t index = 0; index < quarantines_.size(); ++index) {
            auto& quarantine = quarantines_[index];
            if (mutation_ != Mutation::KeepEvidence) {
                const auto status = fleet_.at(index).status(now);
                for (const auto& region : status.regions)
                    quarantine.onEvidence(status.receivedAt, region.digest.evidence);
            }
            for (const auto& part : quarantine.advance(now))
                stored_.insert(part);
            // Stands for the entries in the store, which every instance follows.
            if (mutation_ == Mutation::None) {
                for (const auto& part : stored_)
                    quarantine.onStored(now, part);
            }
        }
    }

    std::mt19937_64 random_;
    Mutation mutation_;
    double deadlyPerSecond_;
    std::vector<PromptQuarantine> quarantines_;
    StatusFleet fleet_;
    std::vector<Server> servers_;
    std::set<ServicePart> stored_;
    std::optional<TimePoint> fifthCrashAt_;
    TimePoint nextUpdate_ {};
    Result result_;
};

bool isViolated(const QuarantineSimulation::Result& result)
{
    return result.lateDeadly > permittedLate || static_cast<double>(result.refusedSound) > permittedRefusals * static_cast<double>(result.sound);
}

void expectBounds(std::size_t instances, double deadlyPerSecond, std::uint64_t schedules)
{
    forEachCase([&](Random& random) {
        const auto result = QuarantineSimulation(random(), instances, deadlyPerSecond, Mutation::None).run();
        EXPECT_FALSE(isViolated(result)) << result.lateDeadly << " late requests, " << result.refusedSound << " of " << result.sound << " sound ones refused, " << result.crashes << " crashes";
    },
        schedules);
}

bool isDetected(Mutation mutation)
{
    return anyCaseSatisfies([&](std::uint64_t seed) { return isViolated(QuarantineSimulation(seed, 9, 2, mutation).run()); }, mutatedSchedules);
}

} // namespace

TEST(QuarantineSchedule, RareRequestsThatCrashServersStop)
{
    expectBounds(9, 0.5, 20);
}

TEST(QuarantineSchedule, RequestsThatCrashServersStop)
{
    expectBounds(9, 2, 20);
}

// More requests crash servers than there are servers to crash.
TEST(QuarantineSchedule, FloodOfRequestsThatCrashServersStops)
{
    expectBounds(9, 8, 20);
}

TEST(QuarantineSchedule, RequestsThatCrashServersStopInALargeFleet)
{
    expectBounds(60, 2, 4);
}

TEST(QuarantineSchedule, NothingIsQuarantinedWithoutACrashingPart)
{
    forEachCase([](Random& random) { EXPECT_EQ(QuarantineSimulation(random(), 9, 0, Mutation::None).run().refusedSound, 0U); }, 20);
}

TEST(QuarantineSchedule, DetectsEvidenceThatIsNotShared)
{
    EXPECT_TRUE(isDetected(Mutation::KeepEvidence));
}

TEST(QuarantineSchedule, DetectsAnswersThatAreIgnored)
{
    EXPECT_TRUE(isDetected(Mutation::IgnoreAnswers));
}

} // namespace Ibisturn::Testing
