#include <LibKernel/Asio.h>

#include "../Model/StoreModel.h"
#include "../Support/Cases.h"

#include <LibDecision/Placement/ColdServerLocks.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t schedules = 300;
constexpr std::uint64_t mutatedSchedules = 100;
constexpr std::size_t instanceCount = 4;
constexpr std::size_t serverCount = 3;
constexpr Duration step = 10ms;
constexpr Duration simulatedTime = 25s;
constexpr Duration leaseTerm = 4500ms;
constexpr Duration renewalPeriod = 1400ms;
constexpr Duration maxConnectTime = 500ms;
constexpr double coldRate = 8;
/// The number of requests that no second may exceed, as the platform states it.
constexpr double maxRequestsPerSecond = coldRate * 1.5 + 3;

const RegionId region("khomas");
const ServiceId model("model");

enum class Mutation : std::uint8_t {
    None,
    /// Instances send while they are preferred, without a lock.
    WithoutLocks,
    /// Instances keep their locks although their leases have ended.
    IgnoreEndOfTerm,
    /// Requests are not checked again when their connection is ready.
    IgnoreConfirmation,
    /// Instances lock a server at once after the store has lost the locks of others.
    IgnoreLostLocks,
};

/// Instances that send as many requests as they may to cold backend servers, while instances are stopped, started, killed and
/// frozen, see different members, and lose replies of the store, which is unavailable at times and comes back from an older copy.
class ColdServerSimulation {
public:
    ColdServerSimulation(std::uint64_t seed, Mutation mutation)
        : random_(seed)
        , mutation_(mutation)
    {
        Service engines;
        engines.id = model;
        engines.coldRate = coldRate;
        engines.engine = EngineTraits { 64, TokenCount(600'000), 4 };
        snapshot_ = std::make_unique<Snapshot>(Revision(1), std::vector<Record> { { "services", "model", Revision(1), engines } });
        for (std::size_t index = 0; index < serverCount; ++index) {
            BackendState state;
            state.server.id = BackendServerId(fmt::format("s{}", index));
            state.server.service = model;
            state.server.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + index) };
            state.server.region = region;
            servers_.push_back(state);
        }
        for (std::size_t index = 0; index < instanceCount; ++index)
            start(index);
    }

    /// Returns the largest number of requests that a cold backend server got within one second.
    std::size_t run()
    {
        for (const auto end = now_ + simulatedTime; now_ < end;) {
            now_ += step;
            injectFaults();
            store_.expire(now_);
            for (std::size_t index = 0; index < instanceCount; ++index) {
                if (now_ >= instances_[index].frozenUntil)
                    advance(index);
            }
        }
        return most_;
    }

    std::size_t sent() const { return sent_; }

private:
    struct Call {
        TimePoint arrivesAt;
        BackendServerId server;
        LeaseId lease;
        LockTermId term;
    };
    struct Instance {
        InstanceId id;
        std::string process;
        std::vector<InstanceId> view;
        ColdServerLocks locks;
        PlacementTable table { region };
        std::optional<LeaseId> lease;
        std::int64_t leases { 0 };
        /// The store's era as the instance knows it.
        StoreEra era;
        TimePoint leaseEnd {};
        TimePoint nextRenewal {};
        bool isDraining { false };
        TimePoint restartAt { TimePoint::max() };
        TimePoint frozenUntil {};
        TimePoint storeRefusedUntil {};
        std::deque<Call> calls;
        std::multimap<TimePoint, BackendServerId> connecting;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Duration randomDuration(Duration max) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(max.count()))); }

    void start(std::size_t index)
    {
        Instance started;
        started.id = InstanceId(fmt::format("i{}", index));
        started.process = fmt::format("{}/{}", started.id, ++processes_);
        instances_[index] = std::move(started);
        instances_[index].table.setServers(servers_, *snapshot_);
        updateView(index);
    }

    // Members that have just left may be missing or not, and so may others.
    void updateView(std::size_t index)
    {
        auto& instance = instances_[index];
        instance.view = { instance.id };
        for (std::size_t other = 0; other < instanceCount; ++other) {
            if (other != index && chance(instances_[other].isDraining ? 0.3 : 0.8))
                instance.view.push_back(instances_[other].id);
        }
        instance.locks.setInstances(instance.id, instance.view);
        instance.table.setInstances(instance.id, instance.view);
    }

    void injectFaults()
    {
        if (chance(0.004)) {
            for (auto& server : servers_)
                server.coldUntil = chance(0.7) ? now_ + 3s + randomDuration(6s) : server.coldUntil;
            for (auto& instance : instances_)
                instance.table.setServers(servers_, *snapshot_);
        }
        if (chance(0.002))
            storeDownUntil_ = now_ + randomDuration(4s);
        if (chance(0.001)) {
            const auto kept = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(store_.revision().number() + 1));
            store_.restore(now_, Revision(kept, store_.era()));
            storeDownUntil_ = now_ + randomDuration(2s);
        }
        auto& instance = instances_[random_() % instanceCount];
        const auto index = static_cast<std::size_t>(&instance - instances_.data());
        if (chance(0.004))
            instance.storeRefusedUntil = now_ + randomDuration(8s);
        if (chance(0.05))
            updateView(index);
        if (chance(0.004))
            instance.frozenUntil = now_ + randomDuration(8s);
        if (chance(0.003) && !instance.isDraining) {
            instance.isDraining = true;
            instance.restartAt = now_ + randomDuration(3s);
            if (instance.lease)
                endLease(*instance.lease);
        }
        if (chance(0.002))
            start(index);
    }

    void endLease(LeaseId lease)
    {
        for (const auto& entry : store_.list("", store_.revision())) {
            const auto owner = leaseOf_.find(entry.key);
            if (owner != leaseOf_.end() && owner->second == lease)
                store_.remove(entry.key);
        }
        ended_.insert(lease);
    }

    void advance(std::size_t index)
    {
        auto& instance = instances_[index];
        if (now_ >= instance.restartAt) {
            start(index);
            return;
        }
        renew(instance);
        std::optional<LockTerm> term;
        if (instance.lease && !instance.isDraining)
            term = LockTerm { LockTermId(instance.leases), mutation_ == Mutation::IgnoreEndOfTerm ? TimePoint::max() : instance.leaseEnd };
        instance.locks.setTerm(term);
        answerCalls(instance);
        const auto cold = instance.table.coldServers(now_);
        for (auto& server : instance.locks.advance(now_, cold))
            instance.calls.push_back({ now_ + randomDuration(150ms), server, *instance.lease, *instance.locks.term() });
        auto held = instance.locks.held();
        if (mutation_ == Mutation::WithoutLocks) {
            for (const auto& server : cold)
                held.emplace(server, TimePoint::max());
        }
        instance.table.setColdServersHeld(std::move(held));
        send(instance);
    }

    bool reachesStore(const Instance& instance) const { return now_ >= storeDownUntil_ && now_ >= instance.storeRefusedUntil; }

    void renew(Instance& instance)
    {
        if (instance.isDraining || now_ < instance.nextRenewal || !reachesStore(instance))
            return;
        instance.nextRenewal = now_ + renewalPeriod;
        if (instance.era != store_.era() && mutation_ != Mutation::IgnoreLostLocks)
            instance.locks.onLocksLost(now_, leaseTerm);
        instance.era = store_.era();
        const bool isKept = instance.lease && instance.lease->era == store_.era() && !ended_.contains(*instance.lease) && store_.renew(now_, *instance.lease);
        if (!isKept) {
            instance.lease = store_.grant(now_, leaseTerm);
            ++instance.leases;
        }
        instance.leaseEnd = now_ + leaseTerm;
    }

    void answerCalls(Instance& instance)
    {
        while (!instance.calls.empty() && instance.calls.front().arrivesAt <= now_) {
            const auto call = instance.calls.front();
            instance.calls.pop_front();
            LockAttempt attempt;
            if (reachesStore(instance)) {
                attempt = write(instance, call);
                // The reply is lost.
                if (chance(0.1))
                    attempt = {};
            }
            instance.locks.onAttempt(now_, call.server, call.term, attempt);
        }
    }

    LockAttempt write(const Instance& instance, const Call& call)
    {
        const auto lease = call.lease;
        const auto key = "locks/" + call.server.value();
        const auto current = store_.list(key, store_.revision());
        const auto holder = fmt::format("{}/{}", instance.process, lease.number);
        if (!current.empty())
            return current.front().value == holder ? LockAttempt { LockOutcome::Held, current.front().revision } : LockAttempt { LockOutcome::HeldByOther, {} };
        if (lease.era != store_.era() || ended_.contains(lease) || !store_.renew(now_, lease))
            return {};
        leaseOf_[key] = lease;
        return { LockOutcome::Held, store_.put(key, holder, lease) };
    }

    void send(Instance& instance)
    {
        PlacementQuery query;
        query.service = model;
        query.canLeaveRegion = false;
        query.target = now_ + 1s;
        query.deadline = now_ + 10s;
        const auto decision = instance.table.place(now_, query);
        const auto* place = std::get_if<PlaceOnServer>(&decision);
        if (place)
            instance.connecting.emplace(now_ + randomDuration(maxConnectTime), place->server);
        while (!instance.connecting.empty() && instance.connecting.begin()->first <= now_) {
            const auto server = instance.connecting.begin()->second;
            instance.connecting.erase(instance.connecting.begin());
            if (instance.table.confirmSend(now_, server) || mutation_ == Mutation::IgnoreConfirmation)
                arrive(server);
        }
    }

    void arrive(const BackendServerId& server)
    {
        const auto state = std::find_if(servers_.begin(), servers_.end(), [&server](const BackendState& known) { return known.server.id == server; });
        if (now_ >= state->coldUntil)
            return;
        ++sent_;
        auto& arrivals = arrivals_[server];
        arrivals.push_back(now_);
        while (now_ - arrivals.front() > 1s)
            arrivals.pop_front();
        most_ = std::max(most_, arrivals.size());
    }

    std::mt19937_64 random_;
    Mutation mutation_;
    TimePoint now_ { 1h };
    std::unique_ptr<Snapshot> snapshot_;
    std::vector<BackendState> servers_;
    std::vector<Instance> instances_ { instanceCount };
    Model::StoreModel store_;
    std::map<std::string, LeaseId> leaseOf_;
    std::set<LeaseId> ended_;
    TimePoint storeDownUntil_ {};
    std::uint64_t processes_ { 0 };
    std::map<BackendServerId, std::deque<TimePoint>> arrivals_;
    std::size_t most_ { 0 };
    std::size_t sent_ { 0 };
};

bool isDetected(Mutation mutation)
{
    return anyCaseSatisfies([mutation](std::uint64_t seed) { return static_cast<double>(ColdServerSimulation(seed, mutation).run()) > maxRequestsPerSecond; }, mutatedSchedules);
}

} // namespace

TEST(ColdServerSchedule, NoSecondExceedsWhatAColdServerTakes)
{
    std::size_t sent = 0;
    forEachCase([&sent](Random& random) {
        ColdServerSimulation simulation(random(), Mutation::None);
        EXPECT_LE(static_cast<double>(simulation.run()), maxRequestsPerSecond);
        sent += simulation.sent();
    },
        schedules);
    // The servers are cold for some seconds in each schedule, and usually somebody may send.
    EXPECT_GT(sent, schedules * 20);
}

TEST(ColdServerSchedule, DetectsSendersWithoutLocks)
{
    EXPECT_TRUE(isDetected(Mutation::WithoutLocks));
}

TEST(ColdServerSchedule, DetectsLocksThatOutliveTheirLease)
{
    EXPECT_TRUE(isDetected(Mutation::IgnoreEndOfTerm));
}

TEST(ColdServerSchedule, DetectsServersLockedAgainBeforeTheHoldersOfLostLocksKnow)
{
    EXPECT_TRUE(isDetected(Mutation::IgnoreLostLocks));
}

TEST(ColdServerSchedule, DetectsRequestsThatAreNotCheckedBeforeTheyAreSent)
{
    EXPECT_TRUE(isDetected(Mutation::IgnoreConfirmation));
}

} // namespace Ibisturn::Testing
