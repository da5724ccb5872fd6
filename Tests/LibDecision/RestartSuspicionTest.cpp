#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/ServerRates/RestartSuspicion.h>

#include <algorithm>
#include <deque>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t instanceCount = 28;
constexpr double coldRate = 4.6;
/// The number of requests that no second may exceed, as the platform states it.
constexpr double maxRequestsPerSecond = coldRate * 1.5 + 3;
constexpr Duration step = 5ms;
constexpr Duration answerTime = 60ms;

const RegionId region("khomas");
const ServiceId model("model");
const BackendServerId server("a");
const StartTime endedProcess(1);
const StartTime newProcess(2);

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

enum class LostConnections : std::uint8_t {
    /// Every instance had a request under way when the process ended.
    OfAllInstances,
    /// No instance had a connection to the process when it ended.
    OfNoInstance,
};

enum class ProcessCheck : std::uint8_t {
    /// Processes are not asked which one they are.
    None,
    /// A process that accepts a connection says which one it is.
    OnEachConnection,
    /// Only every second process that accepts a connection does.
    OnEverySecondConnection,
};

/// What the instances of a region send to a backend server whose process ends at time 0, and starts again under the same id after
/// `downTime`. Each instance learns of the new process at its own time after that.
class RestartedServer {
public:
    RestartedServer(Duration downTime, LostConnections lost, ProcessCheck check = ProcessCheck::None)
        : downTime_(downTime)
        , check_(check)
    {
        Service engines;
        engines.id = model;
        engines.coldRate = coldRate;
        engines.coldPeriod = 3s;
        engines.engine = EngineTraits { 24, TokenCount(600'000), 4 };
        const Snapshot snapshot(Revision(1), { { "services", "model", Revision(1), engines } });
        BackendState state;
        state.server.id = server;
        state.server.service = model;
        state.server.endpoint = { "10.0.0.1", 8080 };
        state.server.region = region;
        state.server.slots = 24;
        state.server.started = endedProcess;
        std::vector<InstanceId> ids;
        for (std::size_t index = 0; index < instanceCount; ++index)
            ids.emplace_back(fmt::format("i{:02}", index));
        for (const auto& id : ids) {
            auto& table = tables_.emplace_back(region);
            table.setInstances(id, ids);
            table.setServers({ state }, snapshot);
            if (lost == LostConnections::OfNoInstance)
                continue;
            const auto request = table.begin(at(-100ms), server, queryAt(at(-100ms)));
            table.end(at(1ms), request, PlacementOutcome::Lost);
        }
    }

    /// Returns the largest number of requests that the new process got within one second before all instances knew of it. No instance
    /// sends anything before `firstSend`.
    std::size_t run(Duration firstSend = 1ms + step)
    {
        constexpr Duration firstLearns = 400ms;
        constexpr Duration lastLearns = 900ms;
        for (auto time = firstSend; time < downTime_ + lastLearns; time += step) {
            const auto now = at(time);
            answer(now);
            lockColdServers(now);
            for (std::size_t index = 0; index < instanceCount; ++index) {
                const auto learnsAt = downTime_ + firstLearns + (lastLearns - firstLearns) * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(instanceCount);
                if (time < learnsAt)
                    send(now, index, time >= downTime_);
            }
        }
        return most_;
    }

private:
    struct Sent {
        TimePoint answeredAt;
        std::size_t instance;
        PlacementId id;
    };

    static PlacementQuery queryAt(TimePoint now)
    {
        PlacementQuery query;
        query.service = model;
        query.promptTokens = TokenCount(500);
        query.maxAnswerTokens = TokenCount(20);
        query.target = now + 1s;
        query.deadline = now + 3s;
        query.canLeaveRegion = false;
        return query;
    }

    void send(TimePoint now, std::size_t instance, bool isRunning)
    {
        auto& table = tables_[instance];
        const auto query = queryAt(now);
        if (!std::holds_alternative<PlaceOnServer>(table.place(now, query)))
            return;
        if (!table.confirmSend(now, server, isRunning ? processAt(now) : std::nullopt))
            return;
        const auto id = table.begin(now, server, query);
        if (!isRunning) {
            table.end(now + 1ms, id, PlacementOutcome::Unreachable);
            return;
        }
        sent_.push_back({ now + answerTime, instance, id });
        arrivals_.push_back(now);
        while (now - arrivals_.front() > 1s)
            arrivals_.pop_front();
        most_ = std::max(most_, arrivals_.size());
    }

    std::optional<ServerProcess> processAt(TimePoint now)
    {
        if (check_ == ProcessCheck::None)
            return std::nullopt;
        const bool isTold = check_ == ProcessCheck::OnEachConnection || ++connections_ % 2 == 0;
        return ServerProcess { isTold ? std::optional(newProcess) : std::nullopt, now };
    }

    // The first instance takes the lock of a server that it knows to be cold.
    void lockColdServers(TimePoint now)
    {
        for (const auto& cold : tables_.front().coldServers(now))
            tables_.front().setColdServersHeld({ { cold, now + 1s } });
    }

    void answer(TimePoint now)
    {
        for (; !sent_.empty() && sent_.front().answeredAt <= now; sent_.pop_front()) {
            auto& table = tables_[sent_.front().instance];
            table.onFirstPart(now, sent_.front().id);
            table.end(now, sent_.front().id, PlacementOutcome::Answered);
        }
    }

    Duration downTime_;
    ProcessCheck check_;
    std::vector<PlacementTable> tables_;
    std::deque<Sent> sent_;
    std::deque<TimePoint> arrivals_;
    std::size_t most_ { 0 };
    std::size_t connections_ { 0 };
};

} // namespace

TEST(RestartSuspicion, InstancesTogetherStayWithinTheRateOfAColdServer)
{
    constexpr double rate = 3.6;
    constexpr std::size_t instances = 10;
    std::vector<RestartSuspicion> suspicions(instances);
    for (auto& suspicion : suspicions)
        suspicion.onConnectionLost(at(0s));
    auto sent = 0;
    for (auto time = 0ms; time < 3000ms; time += 5ms) {
        for (std::size_t rank = 0; rank < instances; ++rank) {
            if (!suspicions[rank].maySend(at(time), rate, rank, instances))
                continue;
            suspicions[rank].onSend(at(time));
            ++sent;
        }
    }
    EXPECT_GT(sent, 7);
    EXPECT_LE(sent, 11);
}

TEST(RestartSuspicion, EndsWithAnAnswerToAnEarlierRequest)
{
    RestartSuspicion suspicion;
    EXPECT_FALSE(suspicion.isSuspected(at(0s)));
    suspicion.onConnectionLost(at(1s));
    // Received before the process ended, and handled right after.
    suspicion.onAnswerPart(at(1010ms), at(500ms), 3s);
    EXPECT_TRUE(suspicion.isSuspected(at(2s)));
    suspicion.onAnswerPart(at(1200ms), at(500ms), 3s);
    EXPECT_FALSE(suspicion.isSuspected(at(2s)));
}

TEST(RestartSuspicion, LastsUntilTheProcessThatAnswersFirstIsNoLongerCold)
{
    RestartSuspicion suspicion;
    suspicion.onConnectionLost(at(1s));
    EXPECT_TRUE(suspicion.isSuspected(at(60s)));
    suspicion.onAnswerPart(at(61s), at(60s), 3s);
    suspicion.onAnswerPart(at(62s), at(61s), 3s);
    EXPECT_TRUE(suspicion.isSuspected(at(63999ms)));
    EXPECT_FALSE(suspicion.isSuspected(at(64s)));
    // The process may have ended again.
    suspicion.onConnectionLost(at(63s));
    EXPECT_TRUE(suspicion.isSuspected(at(70s)));
}

// Instances that had not been able to reach the server yet took it for warm 4.5 s after its process had ended.
TEST(RestartSuspicion, AServerThatIsBackSecondsAfterItsProcessEndedIsNotFlooded)
{
    for (const auto downTime : { 200ms, 1200ms, 2000ms, 3000ms, 4000ms, 5000ms, 8000ms, 20000ms }) {
        const auto most = RestartedServer(downTime, LostConnections::OfAllInstances).run();
        EXPECT_LE(static_cast<double>(most), maxRequestsPerSecond) << "down for " << downTime.count() << " ms";
        EXPECT_GT(most, 0U) << "down for " << downTime.count() << " ms";
    }
}

// Instances without a connection to the ended process took the new one for warm until its entry arrived.
TEST(RestartSuspicion, InstancesThatLostNoConnectionDoNotFloodARestartedServer)
{
    for (const auto check : { ProcessCheck::OnEachConnection, ProcessCheck::OnEverySecondConnection }) {
        for (const auto downTime : { 100ms, 400ms, 1200ms }) {
            const auto most = RestartedServer(downTime, LostConnections::OfNoInstance, check).run(downTime);
            EXPECT_LE(static_cast<double>(most), maxRequestsPerSecond) << "down for " << downTime.count() << " ms";
            EXPECT_GT(most, 0U) << "down for " << downTime.count() << " ms";
        }
    }
}

TEST(RestartSuspicion, DetectsInstancesThatDoNotCheckTheProcess)
{
    const auto most = RestartedServer(400ms, LostConnections::OfNoInstance).run(400ms);
    EXPECT_GT(static_cast<double>(most), maxRequestsPerSecond);
}

TEST(RestartSuspicion, EndsWhenTheProcessSaysThatItStillRuns)
{
    RestartSuspicion suspicion;
    suspicion.onConnectionLost(at(1s));
    suspicion.onProcessConfirmed(at(900ms));
    EXPECT_TRUE(suspicion.isSuspected(at(2s)));
    suspicion.onProcessConfirmed(at(1100ms));
    EXPECT_FALSE(suspicion.isSuspected(at(2s)));
}

} // namespace Ibisturn::Testing
