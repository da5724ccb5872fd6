#include <LibKernel/Asio.h>

#include "../Model/StoreModel.h"
#include "../Model/StubDocumentReader.h"
#include "../Support/Cases.h"

#include <LibCore/Log.h>
#include <LibDecision/Dissemination/StatusExchange.h>
#include <LibDecision/Dissemination/StoreFeed.h>
#include <LibPlatform/FleetState.h>
#include <LibPlatform/PeerUpdateRequests.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t schedules = 400;
/// At least one of these schedules must reveal an injected fault.
constexpr std::uint64_t mutatedSchedules = 100;
constexpr std::size_t instanceCount = 4;
constexpr std::size_t serverCount = 8;
constexpr Duration step = 10ms;
constexpr Duration tick = 50ms;
constexpr Duration simulatedTime = 40s;
constexpr Duration storeDelay = 55ms;
constexpr Duration peerDelay = 3ms;
constexpr Duration watchMargin = 600ms;
constexpr Duration watchPause = 400ms;
constexpr Duration confirmationPeriod = 750ms;
constexpr Duration otherPeriod = 8s;
constexpr Duration renewalPeriod = 1400ms;
constexpr Duration outageDetectionTime = 2s;
/// How long a backend server that leaves keeps serving, and how long an instance must have run undisturbed and reached the store
/// to be bound by that.
constexpr Duration drainTime = 3s;
constexpr Duration stableTime = 5s;
/// The time that a request needs from the check before it is sent until it reaches the backend server.
constexpr Duration sendTime = 50ms;

enum class Leaving : std::uint8_t {
    /// The server's entry says that it drains.
    Announced,
    /// The server's entry is removed.
    Removed,
};

enum class Mutation : std::uint8_t {
    None,
    /// The registry counts as current while the operators' documents are.
    OnlyOperatorsConfirmed,
    /// Instances wait longer before they follow the store themselves.
    LateFollowers,
};

/// Four instances of one region that follow the store, or one of them that does, while they are killed, frozen, and cut off from
/// each other or from the store. The store itself is always available.
class LeavingServerSimulation {
public:
    LeavingServerSimulation(std::uint64_t seed, Leaving leaving, Mutation mutation = Mutation::None)
        : random_(seed)
        , leaving_(leaving)
        , mutation_(mutation)
    {
        store_.put("op/config", "c0");
        for (std::size_t index = 0; index < serverCount; ++index)
            store_.put(keyOf(index), "model");
        for (std::size_t index = 0; index < instanceCount; ++index)
            store_.put(fmt::format("own/instances/i{}", index), "live");
        for (std::size_t index = 0; index < instanceCount; ++index) {
            Member member;
            member.id = idOf(index);
            member.region = region_;
            membership_.instances.push_back(member);
        }
        for (std::size_t index = 0; index < instanceCount; ++index)
            start(index);
    }

    /// Returns a description of the first violation, or an empty string.
    std::string run()
    {
        for (const auto end = now_ + simulatedTime; now_ < end && violation_.empty();) {
            now_ += step;
            injectFaults();
            changeServers();
            deliver();
            for (std::size_t index = 0; index < instanceCount; ++index) {
                auto& instance = instances_[index];
                if (!instance.process || isFrozen(index))
                    continue;
                advanceWatches(index);
                if (now_ >= instance.nextTick)
                    advance(index);
                check(index);
            }
        }
        return violation_;
    }

private:
    struct Watch {
        /// A call that the store holds; unset between calls.
        std::optional<TimePoint> calledAt;
        TimePoint nextCallAt {};
        Duration wait { 50ms };
        std::optional<TimePoint> replyAt;
        Revision replyUpTo;
        bool isReplyLost { false };
    };
    struct Process {
        Process(const Model::StubDocumentReader& reader, InstanceId self, RegionId region, std::uint64_t incarnation, TimePoint now, StoreFeedLimits limits)
            : fleetState(reader, "own/", RemovalLimits {})
            , exchange(
                  std::move(self), std::move(region), Incarnation(incarnation), [this](TimePoint time) { return localStatus(time); }, now)
            , feed(now, limits)
            , watches(fleetState.prefixes().size())
        {
        }

        LocalStatus localStatus(TimePoint time) const
        {
            LocalStatus status;
            status.uptime = 1h;
            status.store = feed.status(time, fleetState.positions());
            return status;
        }

        FleetState fleetState;
        StatusExchange exchange;
        StoreFeed feed;
        PeerUpdateRequests updateRequests;
        std::vector<Watch> watches;
        bool isFollowing { true };
    };
    struct Instance {
        std::unique_ptr<Process> process;
        TimePoint startAt {};
        TimePoint frozenUntil {};
        TimePoint storeCutUntil {};
        TimePoint nextTick {};
        TimePoint nextRenewal {};
        TimePoint answeredAt {};
        /// Since when it has run undisturbed and reached the store.
        TimePoint stableSince {};
    };
    struct Delivery {
        std::size_t from;
        std::size_t to;
        std::function<void()> act;
    };

    static InstanceId idOf(std::size_t index) { return InstanceId(fmt::format("i{}", index)); }
    static std::string keyOf(std::size_t server) { return fmt::format("servers/s{}", server); }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Duration randomDuration(Duration max) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(max.count()))); }
    bool isFrozen(std::size_t index) const { return now_ < instances_[index].frozenUntil; }
    bool reachesStore(std::size_t index) const { return now_ >= instances_[index].storeCutUntil; }
    bool areLinked(std::size_t from, std::size_t to) const
    {
        const auto cut = cuts_.find({ from, to });
        return cut == cuts_.end() || now_ >= cut->second;
    }

    void start(std::size_t index)
    {
        auto& instance = instances_[index];
        StoreFeedLimits limits { confirmationPeriod, 2 };
        if (mutation_ == Mutation::OnlyOperatorsConfirmed)
            limits.confirmedPrefixes = 1;
        if (mutation_ == Mutation::LateFollowers)
            limits.confirmationPeriod = 3s;
        instance.process = std::make_unique<Process>(reader_, idOf(index), region_, ++processes_, now_, limits);
        instance.process->exchange.setMembers(membership_);
        for (const auto& prefix : instance.process->fleetState.prefixes())
            instance.process->fleetState.onListing(now_, { prefix, store_.revision(), store_.list(prefix, store_.revision()) });
        instance.stableSince = instance.answeredAt = now_;
        instance.nextTick = now_ + randomDuration(tick);
    }

    void injectFaults()
    {
        const auto index = static_cast<std::size_t>(random_() % instanceCount);
        auto& instance = instances_[index];
        if (chance(0.002)) {
            instance.process.reset();
            instance.startAt = now_ + 500ms + randomDuration(4s);
        }
        if (chance(0.002))
            instance.frozenUntil = now_ + randomDuration(5s);
        if (chance(0.002))
            instance.storeCutUntil = now_ + randomDuration(6s);
        if (chance(0.003)) {
            const auto until = now_ + randomDuration(6s);
            const bool isOneWay = chance(0.3);
            for (std::size_t other = 0; other < instanceCount; ++other) {
                cuts_[{ index, other }] = until;
                if (!isOneWay)
                    cuts_[{ other, index }] = until;
            }
        }
        for (std::size_t other = 0; other < instanceCount; ++other) {
            auto& current = instances_[other];
            if (!current.process && now_ >= current.startAt)
                start(other);
            if (!current.process || isFrozen(other) || !reachesStore(other))
                current.stableSince = now_;
        }
    }

    void changeServers()
    {
        if (!chance(0.01))
            return;
        const auto server = static_cast<std::size_t>(random_() % serverCount);
        const auto key = keyOf(server);
        if (leftAt_.contains(key)) {
            if (now_ - leftAt_[key] < 8s)
                return;
            leftAt_.erase(key);
            store_.put(key, "model");
            return;
        }
        leftAt_[key] = now_;
        if (leaving_ == Leaving::Announced)
            store_.put(key, "leaving");
        else
            store_.remove(key);
    }

    void advance(std::size_t index)
    {
        auto& instance = instances_[index];
        auto& process = *instance.process;
        instance.nextTick = now_ + tick;
        process.fleetState.advance(now_);
        process.feed.setReportPeriod(mutation_ == Mutation::LateFollowers ? 2s : process.exchange.period());
        process.feed.advance(now_, process.exchange.rank(), process.fleetState.positions());
        process.fleetState.setConfirmedAt(process.feed.confirmedAt());
        process.isFollowing = process.feed.isFollowing();
        if (reachesStore(index) && now_ >= instance.nextRenewal) {
            instance.nextRenewal = now_ + renewalPeriod;
            instance.answeredAt = now_;
        }
        if (now_ - std::max(instance.answeredAt, process.feed.confirmedAt().value_or(TimePoint {})) <= outageDetectionTime)
            process.fleetState.onStoreAvailable(now_);
        else
            process.fleetState.onStoreUnavailable(now_);
        send(index, process.exchange.advance(now_));
        std::vector<const Member*> others;
        for (const auto& member : membership_.instances) {
            if (member.id != idOf(index))
                others.push_back(&member);
        }
        auto sources = process.updateRequests.next(now_, process.fleetState.isStoreUnavailable(now_), others);
        const auto ahead = process.feed.sourceOf(now_, process.fleetState.positions());
        if (ahead)
            sources.push_back(*ahead);
        for (const auto& source : sources)
            requestUpdate(index, static_cast<std::size_t>(std::stoul(source.value().substr(1))));
    }

    void requestUpdate(std::size_t from, std::size_t to)
    {
        const auto positions = instances_[from].process->fleetState.positions();
        post(from, to, [this, from, to, positions] {
            const auto update = instances_[to].process->fleetState.updateAfter(now_, positions);
            post(to, from, [this, from, update] { instances_[from].process->fleetState.onPeerUpdate(now_, update); });
        });
    }

    void send(std::size_t from, const StatusExchange::Messages& messages)
    {
        for (const auto& message : messages) {
            const auto& peer = std::visit([](const auto& action) -> const InstanceId& { return action.peer; }, message);
            const auto to = static_cast<std::size_t>(std::stoul(peer.value().substr(1)));
            post(from, to, [this, from, to, message] { receive(from, to, message); });
        }
    }

    void receive(std::size_t from, std::size_t to, const StatusExchange::Message& message)
    {
        auto& process = *instances_[to].process;
        std::optional<StatusExchange::Messages> answers;
        if (const auto* report = std::get_if<SendReport>(&message)) {
            answers = process.exchange.onReport(now_, idOf(from), report->report);
        } else if (const auto* digest = std::get_if<SendDigest>(&message)) {
            answers = process.exchange.onDigest(now_, idOf(from), digest->digest);
            const auto sentAt = process.exchange.reportSentAt(digest->digest);
            if (answers && sentAt)
                process.feed.onStatus(now_, *sentAt, idOf(from), process.exchange.rankOf(idOf(from)), digest->digest.store);
        }
        if (answers)
            send(to, *answers);
    }

    void post(std::size_t from, std::size_t to, std::function<void()> act)
    {
        if (areLinked(from, to))
            deliveries_.emplace(now_ + peerDelay, Delivery { from, to, std::move(act) });
    }

    // What arrives at a frozen process waits; what arrives at one that has ended is lost.
    void deliver()
    {
        while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
            auto delivery = std::move(deliveries_.begin()->second);
            deliveries_.erase(deliveries_.begin());
            if (!instances_[delivery.to].process || !instances_[delivery.from].process)
                continue;
            if (isFrozen(delivery.to))
                deliveries_.emplace(instances_[delivery.to].frozenUntil, std::move(delivery));
            else
                delivery.act();
        }
    }

    void advanceWatches(std::size_t index)
    {
        auto& process = *instances_[index].process;
        for (std::size_t prefix = 0; prefix < process.watches.size(); ++prefix)
            advanceWatch(index, prefix, process.watches[prefix]);
    }

    void advanceWatch(std::size_t index, std::size_t prefix, Watch& watch)
    {
        auto& process = *instances_[index].process;
        const bool isConfirmedPrefix = prefix < (mutation_ == Mutation::OnlyOperatorsConfirmed ? 1 : 2);
        const Duration period = isConfirmedPrefix ? confirmationPeriod : otherPeriod;
        if (!watch.calledAt) {
            if (!process.isFollowing || now_ < watch.nextCallAt)
                return;
            watch.calledAt = now_;
            watch.replyAt.reset();
            watch.isReplyLost = !reachesStore(index);
        }
        // The call and its reply need a connection each way; a cut at any time loses the reply.
        if (!reachesStore(index))
            watch.isReplyLost = true;
        const auto arrivedAt = *watch.calledAt + storeDelay * 3;
        const auto position = *process.fleetState.positionOf(process.fleetState.prefixes()[prefix]);
        if (!watch.replyAt && now_ >= arrivedAt) {
            const auto changes = store_.changes(process.fleetState.prefixes()[prefix], position, store_.revision());
            if (!changes->empty() || now_ >= arrivedAt + watch.wait) {
                watch.replyAt = now_ + storeDelay;
                watch.replyUpTo = store_.revision();
            }
        }
        if (now_ >= *watch.calledAt + watch.wait + watchMargin) {
            watch = {};
            watch.nextCallAt = now_ + 200ms;
            if (isConfirmedPrefix)
                process.feed.onFailed(prefix);
            return;
        }
        if (!watch.replyAt || now_ < *watch.replyAt || watch.isReplyLost)
            return;
        const auto changes = store_.changes(process.fleetState.prefixes()[prefix], position, watch.replyUpTo);
        if (!changes->empty())
            process.fleetState.onChanges(now_, *changes);
        if (isConfirmedPrefix)
            process.feed.onConfirmed(changes->empty() ? *watch.calledAt + watch.wait : *watch.calledAt, prefix);
        const auto pause = changes->empty() ? Duration::zero() : Duration(watchPause);
        watch = {};
        watch.wait = period;
        watch.nextCallAt = now_ + pause;
    }

    void check(std::size_t index)
    {
        const auto& instance = instances_[index];
        if (now_ - instance.stableSince < stableTime || !violation_.empty())
            return;
        for (const auto& state : instance.process->fleetState.registry().usable()) {
            const auto left = leftAt_.find("servers/" + state.server.id.value());
            if (left == leftAt_.end() || now_ - left->second <= drainTime - sendTime)
                continue;
            const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - left->second);
            violation_ = fmt::format("i{} uses {} {} ms after it began to leave", index, state.server.id, time.count());
        }
    }

    std::mt19937_64 random_;
    Leaving leaving_;
    Mutation mutation_;
    RegionId region_ { "r" };
    Model::StubDocumentReader reader_;
    Model::StoreModel store_;
    MembershipView membership_;
    TimePoint now_ { 1h };
    std::uint64_t processes_ { 0 };
    std::vector<Instance> instances_ { instanceCount };
    std::map<std::string, TimePoint> leftAt_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cuts_;
    std::multimap<TimePoint, Delivery> deliveries_;
    std::string violation_;
};

bool isDetected(Mutation mutation)
{
    return anyCaseSatisfies([mutation](std::uint64_t seed) { return !LeavingServerSimulation(seed, Leaving::Announced, mutation).run().empty(); }, mutatedSchedules);
}

/// Suppresses the log, since each schedule would write thousands of lines.
class LeavingServerSchedule : public testing::Test {
protected:
    void SetUp() override { setLogLevel(LogLevel::Error); }
    void TearDown() override { setLogLevel(LogLevel::Info); }
};

} // namespace

TEST_F(LeavingServerSchedule, ServersThatDrainAreNotUsedPastTheirDrainTime)
{
    forEachCase([](Random& random) { EXPECT_EQ(LeavingServerSimulation(random(), Leaving::Announced).run(), ""); }, schedules);
}

TEST_F(LeavingServerSchedule, RemovedServersAreNotUsedPastTheirDrainTime)
{
    forEachCase([](Random& random) { EXPECT_EQ(LeavingServerSimulation(random(), Leaving::Removed).run(), ""); }, schedules);
}

TEST_F(LeavingServerSchedule, DetectsThatTheRegistryIsNotConfirmed)
{
    EXPECT_TRUE(isDetected(Mutation::OnlyOperatorsConfirmed));
}

TEST_F(LeavingServerSchedule, DetectsInstancesThatFollowTheStoreTooLate)
{
    EXPECT_TRUE(isDetected(Mutation::LateFollowers));
}

} // namespace Ibisturn::Testing
