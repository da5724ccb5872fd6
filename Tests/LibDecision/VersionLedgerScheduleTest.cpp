#include <LibKernel/Asio.h>

#include "../Model/StoreModel.h"
#include "../Support/Cases.h"

#include <LibDecision/Registry/RegisteredServer.h>
#include <LibPlatform/VersionRecords.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t schedules = 200;
constexpr std::uint64_t mutatedSchedules = 400;
constexpr std::size_t instanceCount = 4;
constexpr std::size_t maxServers = 6;
constexpr std::size_t versionCount = 3;
constexpr Duration step = 50ms;
constexpr Duration simulatedTime = 200s;
constexpr Duration quietTime = 40s;
constexpr Duration lifetime = 5s;
constexpr Duration maxWait = 1s;
/// The longest time until a change reaches an instance.
constexpr Duration maxLag = 2500ms;
constexpr Duration heartbeat = 1200ms;
constexpr Duration entryTerm = 3600ms;
constexpr Duration removalGrace = 1200ms;
/// How long a server that has left still answers.
constexpr Duration servingTime = 3s;
constexpr Duration outageDetectionTime = 2s;
constexpr Duration recoveryGrace = 2s;

const ServiceId model("model");
const std::string ownPrefix = "own/";
const std::string serversPrefix = "servers/";

enum class Mutation : std::uint8_t {
    None,
    /// Streams begin at versions that are not listed yet.
    BeginBeforeListing,
    /// Streams begin at versions that are retiring.
    BeginWhileRetiring,
    /// An earlier read counts as a proof.
    ProveByAnEarlierRead,
    /// Retiring versions are removed at once.
    RemoveAtOnce,
    /// After a return from an older copy, the instance goes on like a new process that does not know of it.
    IgnoreLostHistory,
    /// A read counts from the time at which its reply is used.
    ProveByTheTimeOfTheReply,
};

enum class Machines : std::uint8_t {
    InStep,
    /// Now and then, mostly around a release, an instance stands still or is cut off for some seconds. The clocks of half of the schedules do
    /// not count the time for which an instance stands still.
    OutOfStep,
};

/// Instances that begin and resume streams while versions are released and taken back, instances are killed, the store is away or returns
/// from an older copy, replies are lost or late, and each instance knows an older state of the store.
class VersionLedgerSimulation {
public:
    VersionLedgerSimulation(std::uint64_t seed, Mutation mutation, Machines machines = Machines::InStep)
        : random_(seed)
        , mutation_(mutation)
        , machines_(machines)
        , clocksCountPauses_(seed % 2 == 0)
    {
        for (std::size_t index = 0; index < maxServers / 2; ++index)
            startServer();
    }

    void run()
    {
        for (const auto end = now_ + simulatedTime; now_ < end;) {
            injectFaults();
            advance();
        }
    }

    /// Leaves only servers of one version, with a store that works, and returns whether the record has only that version in the end, and
    /// every instance proves it.
    bool settles()
    {
        storeDownUntil_ = now_;
        for (auto& instance : instances_)
            instance.refusedUntil = instance.cutOffUntil = instance.standsUntil = now_;
        const auto version = randomVersion();
        for (auto& server : servers_) {
            if (server.version != version)
                stopServer(server);
        }
        while (liveServers() < 2)
            startServer(version);
        isHealed_ = true;
        for (const auto end = now_ + quietTime; now_ < end;)
            advance();
        if (record().listed != std::set { version } || !record().retiring.empty())
            return false;
        for (std::size_t index = 0; index < instanceCount; ++index) {
            arrive(version, index);
        }
        const auto before = proved_;
        for (const auto end = now_ + maxWait; now_ < end;)
            advance();
        return proved_ == before + instanceCount;
    }

    /// How often a stream was proved to be of another version than the one that began it, and of the one that did.
    std::size_t wrong() const { return wrong_; }
    std::size_t proved() const { return proved_; }
    std::size_t begun() const { return begun_; }
    /// The longest time for which a version had a registered server and was not listed, while the store worked for everybody.
    Duration longestUnlisted() const { return longestUnlisted_; }

private:
    struct Server {
        std::string key;
        SoftwareVersion version;
        bool isDraining { false };
        /// Unset while it runs.
        std::optional<TimePoint> leftAt;
        /// When its entry is removed, unless it writes it again.
        TimePoint entryEndsAt { TimePoint::max() };
        TimePoint nextHeartbeat {};
    };
    struct Known {
        RegisteredServer server;
        std::optional<TimePoint> removedAt;
    };
    struct Write {
        TimePoint arrivesAt;
        TimePoint repliesAt;
        LedgerWrite write;
        bool isRefused { false };
        bool isDone { false };
        bool hasWritten { false };
        Revision revision;
        std::optional<VersionRecord> current;
    };
    struct Read {
        TimePoint startedAt;
        TimePoint arrivesAt;
        TimePoint repliesAt;
        bool isDone { false };
        std::optional<std::map<ServiceId, VersionRecord>> records;
        Revision position;
    };
    struct Instance {
        VersionLedger ledger;
        std::map<std::string, Known> servers;
        std::optional<Revision> position;
        TimePoint nextUpdate {};
        TimePoint lastContact {};
        TimePoint availableSince {};
        TimePoint refusedUntil {};
        /// Nothing reaches it, and it reaches nothing but backend servers.
        TimePoint cutOffUntil {};
        TimePoint standsUntil {};
        /// What its clock has not counted.
        Duration stoodStill {};
        std::deque<Write> writes;
        std::optional<Read> read;
    };
    struct Stream {
        SoftwareVersion version;
        TimePoint beganAt;
    };
    struct Resumption {
        SoftwareVersion version;
        std::size_t instance;
        /// When the instance read it; unset while it stands still.
        std::optional<TimePoint> since;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Duration randomDuration(Duration max) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(max.count()))); }
    bool isLost(double probability) { return !isHealed_ && chance(probability); }
    SoftwareVersion randomVersion() { return SoftwareVersion(fmt::format("v{}", random_() % versionCount)); }
    bool isStoreUp() const { return now_ >= storeDownUntil_; }
    bool standsStill(const Instance& instance) const { return now_ < instance.standsUntil; }
    bool isCutOff(const Instance& instance) const { return now_ < instance.cutOffUntil; }
    TimePoint clockOf(const Instance& instance) const { return now_ - instance.stoodStill; }

    void startServer(std::optional<SoftwareVersion> version = std::nullopt)
    {
        Server server;
        server.key = fmt::format("{}s{}", serversPrefix, ++lastServer_);
        server.version = version ? *version : randomVersion();
        servers_.push_back(server);
    }

    // Some leave without notice, and the entry of one that crashed expires.
    void stopServer(Server& server)
    {
        if (server.leftAt)
            return;
        server.leftAt = now_;
        server.entryEndsAt = now_ + (chance(0.5) ? Duration::zero() : entryTerm);
        const bool isLast = std::none_of(servers_.begin(), servers_.end(), [&server](const Server& other) { return !other.leftAt && other.version == server.version; });
        // A version returns about when it is removed from the record.
        if (isLast && chance(0.4))
            returns_.emplace(server.entryEndsAt + VersionLedger::retirementDelay + lifetime + VersionLedger::settlingTime + randomDuration(2s), server.version);
    }

    std::size_t liveServers() const
    {
        return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const Server& server) { return !server.leftAt; }));
    }

    // Releases come in waves, so that one version is often alone.
    void injectFaults()
    {
        if (chance(0.02) && liveServers() < maxServers)
            startServer(chance(0.98) ? std::optional(released_) : std::nullopt);
        for (; !returns_.empty() && returns_.begin()->first <= now_; returns_.erase(returns_.begin()))
            startServer(returns_.begin()->second);
        if (chance(0.001)) {
            released_ = randomVersion();
            // The store may lose that the version was listed.
            if (chance(0.4))
                restoreAt_ = now_ + 2s + randomDuration(10s);
            if (chance(0.7))
                putOutOfStep(instances_[random_() % instanceCount]);
        }
        if (chance(0.002))
            putOutOfStep(instances_[random_() % instanceCount]);
        if (!servers_.empty()) {
            auto& server = servers_[random_() % servers_.size()];
            if (chance(server.version == released_ ? 0.005 : 0.04))
                server.isDraining = true;
            if (chance(server.isDraining ? 0.1 : 0.002))
                stopServer(server);
        }
        if (chance(0.002))
            storeDownUntil_ = now_ + randomDuration(6s);
        if (chance(0.0004) || now_ >= restoreAt_) {
            restoreAt_ = TimePoint::max();
            restoreStore();
        }
        if (chance(0.01))
            instances_[random_() % instanceCount].refusedUntil = now_ + randomDuration(4s);
        if (chance(0.002))
            instances_[random_() % instanceCount] = {};
        if (chance(0.0007))
            instances_ = std::vector<Instance>(instanceCount);
    }

    void putOutOfStep(Instance& instance)
    {
        if (machines_ == Machines::InStep)
            return;
        const auto end = now_ + 1500ms + randomDuration(3500ms);
        (chance(0.5) ? instance.standsUntil : instance.cutOffUntil) = end;
    }

    // A resumption that arrives while the instance stands still is read afterwards.
    void arrive(const SoftwareVersion& version, std::size_t index)
    {
        auto& instance = instances_[index];
        resumptions_.push_back({ version, index, std::nullopt });
        if (!standsStill(instance))
            read(resumptions_.back());
    }

    void read(Resumption& resumption)
    {
        auto& instance = instances_[resumption.instance];
        resumption.since = clockOf(instance);
        instance.ledger.requestProof(clockOf(instance));
    }

    // The copy is some seconds old.
    void restoreStore()
    {
        const auto since = now_ - randomDuration(8s);
        std::int64_t kept = 0;
        for (const auto& [at, number] : written_) {
            if (at <= since)
                kept = number;
        }
        std::erase_if(written_, [kept](const auto& entry) { return entry.second > kept; });
        store_.restore(now_, Revision(kept, store_.era()));
        entries_.clear();
        for (auto& change : store_.list("", store_.revision()))
            entries_[change.key] = std::move(change);
        storeDownUntil_ = now_ + randomDuration(2s);
        for (auto& server : servers_) {
            if (server.leftAt)
                server.entryEndsAt = storeDownUntil_ + entryTerm;
        }
    }

    Revision put(const std::string& key, const std::string& value)
    {
        const auto revision = store_.put(key, value);
        written_.emplace_back(now_, revision.number());
        entries_[key] = { key, value, revision };
        return revision;
    }

    Revision remove(const std::string& key)
    {
        store_.remove(key);
        written_.emplace_back(now_, store_.revision().number());
        entries_.erase(key);
        return store_.revision();
    }

    /// What the store has of a key; null if it has none.
    const RecordChange* entry(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? nullptr : &found->second;
    }

    VersionRecord record() const
    {
        const auto* current = entry(versionsKeyOf(ownPrefix, model));
        return current ? parseVersions(*current->value, current->revision).value_or(VersionRecord()) : VersionRecord();
    }

    /// What the instance takes for the record.
    VersionRecord recordAt(Revision position) const
    {
        for (const auto& change : store_.list(versionsKeyOf(ownPrefix, model), position))
            return parseVersions(*change.value, change.revision).value_or(VersionRecord());
        return {};
    }

    void advance()
    {
        now_ += step;
        advanceServers();
        for (auto& resumption : resumptions_) {
            if (!resumption.since && !standsStill(instances_[resumption.instance]))
                read(resumption);
        }
        for (std::size_t index = 0; index < instanceCount; ++index) {
            executeCalls(instances_[index]);
            if (standsStill(instances_[index]))
                standStill(instances_[index]);
            else
                advance(instances_[index], index);
        }
        for (std::size_t index = 0; index < instanceCount; ++index) {
            beginStream(instances_[index]);
            resumeStream();
        }
        checkProofs();
        std::erase_if(streams_, [this](const Stream& stream) { return now_ - stream.beganAt > lifetime; });
        checkListing();
    }

    void advanceServers()
    {
        if (isStoreUp()) {
            for (auto& server : servers_) {
                const auto value = server.version.value() + (server.isDraining ? " draining" : "");
                const auto* known = entry(server.key);
                if (!server.leftAt && now_ >= server.nextHeartbeat) {
                    server.nextHeartbeat = now_ + heartbeat;
                    if (!known || known->value != value)
                        put(server.key, value);
                }
                if (known && server.leftAt && now_ >= server.entryEndsAt)
                    remove(server.key);
            }
        }
        std::erase_if(servers_, [this](const Server& server) { return server.leftAt && now_ - *server.leftAt > 60s && !entry(server.key); });
    }

    // No call has failed meanwhile, so the instance takes the store for available when it goes on.
    void standStill(Instance& instance) const
    {
        if (!clocksCountPauses_)
            instance.stoodStill += step;
        else
            instance.lastContact += step;
    }

    void advance(Instance& instance, std::size_t rank)
    {
        const bool hasJustStoodStill = now_ - instance.standsUntil < step;
        // It may act on what it knew before it hears from the store.
        if (!hasJustStoodStill || chance(0.5))
            follow(instance);
        advanceCalls(instance);
        if (!instance.position)
            return;
        std::map<ServiceId, std::set<SoftwareVersion>> registered;
        for (const auto& [key, known] : instance.servers)
            registered[model].insert(known.server.version);
        const auto clock = clockOf(instance);
        std::erase_if(instance.servers, [clock](const auto& known) { return known.second.removedAt && clock - *known.second.removedAt >= removalGrace; });
        auto view = RegistryView::Complete;
        if (clock - instance.lastContact > outageDetectionTime)
            view = RegistryView::Unavailable;
        else if (clock - instance.availableSince < recoveryGrace)
            view = RegistryView::Partial;
        for (auto& write : instance.ledger.takeDueWrites(clock, registered, view, rank)) {
            const auto arrivesAt = now_ + randomDuration(chance(0.05) ? 3s : 150ms);
            Write call { arrivesAt, std::max(arrivesAt + randomDuration(150ms), now_), std::move(write) };
            // The client refuses a condition of an earlier era, and does not wait longer than this.
            call.isRefused = call.write.expected != Revision() && call.write.expected.era() != instance.position->era();
            call.repliesAt = std::min(call.repliesAt, now_ + 1500ms);
            instance.writes.push_back(std::move(call));
        }
        if (instance.ledger.needsRead(clock) && !instance.read) {
            instance.ledger.beginRead(clock);
            const auto arrivesAt = now_ + randomDuration(150ms);
            instance.read = Read { clock, arrivesAt, arrivesAt + randomDuration(150ms), false, std::nullopt, {} };
        }
    }

    // The instance learns of what the store had some time before.
    void follow(Instance& instance)
    {
        const auto clock = clockOf(instance);
        if (clock < instance.nextUpdate || !isStoreUp() || isCutOff(instance))
            return;
        instance.nextUpdate = clock + randomDuration(maxLag / 2);
        if (clock - instance.lastContact > outageDetectionTime)
            instance.availableSince = instance.lastContact == TimePoint {} ? TimePoint {} : clock;
        instance.lastContact = clock;
        auto upTo = store_.revision();
        if (instance.position && instance.position->era() == store_.era()) {
            const auto seenBefore = now_ - randomDuration(maxLag / 2);
            std::int64_t number = instance.position->number();
            for (const auto& [at, revision] : written_) {
                if (at <= seenBefore)
                    number = std::max(number, revision);
            }
            upTo = Revision(std::min(number, upTo.number()), upTo.era());
        }
        onEra(instance, store_.era());
        for (const auto& change : store_.changes("", position(instance), upTo).value_or(store_.list("", upTo)))
            apply(instance, change);
        instance.position = upTo;
    }

    static Revision position(const Instance& instance) { return instance.position.value_or(Revision(-1)); }

    void onEra(Instance& instance, StoreEra era)
    {
        const bool isNew = !instance.position || instance.position->era() < era;
        if (!isNew)
            return;
        const bool isFirst = !instance.position;
        if (isFirst && era == StoreEra())
            return;
        if (mutation_ == Mutation::IgnoreLostHistory)
            instance.ledger = {};
        else
            instance.ledger.onHistoryLost(clockOf(instance));
        setLifetime(instance);
        for (auto& [key, known] : instance.servers) {
            if (!entry(key))
                known.removedAt = clockOf(instance);
        }
        if (!entry(versionsKeyOf(ownPrefix, model)))
            instance.ledger.onRecord(clockOf(instance), model, std::nullopt, store_.revision());
        instance.position = Revision(0, era);
        for (const auto& change : store_.list("", store_.revision()))
            apply(instance, change);
        instance.position = store_.revision();
    }

    void setLifetime(Instance& instance) { instance.ledger.setLifetime(clockOf(instance), mutation_ == Mutation::RemoveAtOnce ? -VersionLedger::settlingTime : lifetime); }

    void apply(Instance& instance, const RecordChange& change)
    {
        if (const auto service = serviceOfVersionsKey(ownPrefix, change.key)) {
            instance.ledger.onRecord(clockOf(instance), *service, change.value ? parseVersions(*change.value, change.revision) : std::nullopt, change.revision);
            return;
        }
        if (!change.value) {
            const auto found = instance.servers.find(change.key);
            if (found != instance.servers.end() && !found->second.removedAt)
                found->second.removedAt = clockOf(instance);
            return;
        }
        Known known;
        known.server.id = BackendServerId(change.key);
        known.server.service = model;
        known.server.version = SoftwareVersion(change.value->substr(0, change.value->find(' ')));
        known.server.state = change.value->ends_with("draining") ? RegistrationState::Draining : RegistrationState::Ready;
        instance.servers.insert_or_assign(change.key, known);
    }

    bool reaches(const Instance& instance) const { return isStoreUp() && now_ >= instance.refusedUntil && !isCutOff(instance); }

    // The store executes calls also while the instance that made them stands still.
    void executeCalls(Instance& instance)
    {
        for (auto& call : instance.writes) {
            if (call.isDone || now_ < call.arrivesAt)
                continue;
            call.isDone = true;
            if (reaches(instance) && !call.isRefused)
                execute(call);
        }
        if (!instance.read || instance.read->isDone || now_ < instance.read->arrivesAt)
            return;
        auto& read = *instance.read;
        read.isDone = true;
        if (!reaches(instance))
            return;
        read.position = store_.revision();
        read.records.emplace();
        if (entry(versionsKeyOf(ownPrefix, model)))
            read.records->emplace(model, record());
    }

    void advanceCalls(Instance& instance)
    {
        setLifetime(instance);
        for (auto& write : instance.writes)
            useReply(instance, write);
        std::erase_if(instance.writes, [this](const Write& write) { return now_ >= write.repliesAt && now_ >= write.arrivesAt; });
        if (!instance.read || now_ < instance.read->repliesAt)
            return;
        const auto& read = *instance.read;
        const auto clock = clockOf(instance);
        if (read.records && !isCutOff(instance) && !isLost(0.05)) {
            if (mutation_ == Mutation::IgnoreLostHistory && instance.position->era() < read.position.era())
                onEra(instance, read.position.era());
            instance.ledger.onRead(clock, mutation_ == Mutation::ProveByTheTimeOfTheReply ? clock : read.startedAt, *read.records, read.position);
        } else {
            instance.ledger.onReadFailed(clock);
        }
        instance.read.reset();
    }

    void useReply(Instance& instance, Write& call)
    {
        if (now_ < call.repliesAt || call.write.service.isEmpty())
            return;
        const auto clock = clockOf(instance);
        const auto service = std::exchange(call.write.service, ServiceId());
        const bool isAnswered = call.isDone && (call.hasWritten || call.current) && !isCutOff(instance) && !isLost(0.1);
        if (!isAnswered) {
            instance.ledger.onWriteFailed(clock, service);
            return;
        }
        if (call.hasWritten && call.write.listed.empty() && call.write.retiring.empty())
            instance.ledger.onRecord(clock, service, std::nullopt, call.revision);
        else if (call.hasWritten)
            instance.ledger.onRecord(clock, service, VersionRecord { call.write.listed, call.write.retiring, call.revision }, call.revision);
        else
            instance.ledger.onRecord(clock, service, call.current, call.current->revision);
        instance.ledger.onWritten(service);
    }

    // The store compares numbers, which it uses again in a later era.
    void execute(Write& call)
    {
        const auto key = versionsKeyOf(ownPrefix, model);
        const auto* current = entry(key);
        const auto number = current ? current->revision.number() : 0;
        if (number != call.write.expected.number()) {
            if (current)
                call.current = parseVersions(*current->value, current->revision);
            return;
        }
        call.hasWritten = true;
        const bool isDeletion = call.write.listed.empty() && call.write.retiring.empty();
        call.revision = isDeletion ? remove(key) : put(key, formatVersions(call.write.listed, call.write.retiring));
    }

    void beginStream(Instance& instance)
    {
        if (isHealed_ || instance.servers.empty() || standsStill(instance))
            return;
        const auto& known = std::next(instance.servers.begin(), static_cast<std::ptrdiff_t>(random_() % instance.servers.size()))->second.server;
        const auto runs = std::find_if(servers_.begin(), servers_.end(), [&](const Server& server) { return server.key == known.id.value() && (!server.leftAt || now_ - *server.leftAt < servingTime); });
        if (known.state == RegistrationState::Draining || runs == servers_.end())
            return;
        const bool mayBegin = instance.ledger.isListed(model, known.version) || mutation_ == Mutation::BeginBeforeListing
            || (mutation_ == Mutation::BeginWhileRetiring && instance.position->era() == store_.era() && recordAt(*instance.position).retiring.contains(known.version));
        if (!mayBegin)
            return;
        streams_.push_back({ known.version, now_ });
        ++begun_;
    }

    void resumeStream()
    {
        if (!isHealed_ && !streams_.empty() && chance(0.3)) {
            // The oldest and the newest are those for which the record may be wrong.
            const auto pick = random_() % 3;
            const auto& stream = pick == 0 ? streams_.front() : (pick == 1 ? streams_.back() : streams_[random_() % streams_.size()]);
            arrive(stream.version, random_() % instanceCount);
        }
    }

    void checkProofs()
    {
        std::erase_if(resumptions_, [this](const Resumption& resumption) {
            const auto& instance = instances_[resumption.instance];
            if (!resumption.since || standsStill(instance))
                return false;
            const auto since = mutation_ == Mutation::ProveByAnEarlierRead ? TimePoint::min() : *resumption.since;
            const auto proof = instance.ledger.onlyVersion(model, since);
            if (proof)
                ++(*proof == resumption.version ? proved_ : wrong_);
            return proof || clockOf(instance) - *resumption.since > maxWait;
        });
    }

    // An instance that is restarted, or can't reach the store, must not keep a version from being listed.
    void checkListing()
    {
        const auto listed = record().listed;
        for (const auto& server : servers_) {
            const bool isWaiting = isStoreUp() && !server.leftAt && entry(server.key) && !listed.contains(server.version);
            if (!isWaiting) {
                unlistedSince_.erase(server.key);
                continue;
            }
            const auto since = unlistedSince_.try_emplace(server.key, now_).first->second;
            longestUnlisted_ = std::max(longestUnlisted_, now_ - since);
        }
    }

    std::mt19937_64 random_;
    Mutation mutation_;
    Machines machines_;
    bool clocksCountPauses_;
    TimePoint now_ { 1h };
    Model::StoreModel store_;
    /// What the store has now.
    std::map<std::string, RecordChange> entries_;
    /// When each revision was written.
    std::vector<std::pair<TimePoint, std::int64_t>> written_;
    TimePoint storeDownUntil_ {};
    TimePoint restoreAt_ { TimePoint::max() };
    std::vector<Server> servers_;
    std::uint64_t lastServer_ { 0 };
    std::multimap<TimePoint, SoftwareVersion> returns_;
    SoftwareVersion released_ { "v0" };
    std::vector<Instance> instances_ { instanceCount };
    bool isHealed_ { false };
    std::vector<Stream> streams_;
    std::vector<Resumption> resumptions_;
    std::map<std::string, TimePoint> unlistedSince_;
    Duration longestUnlisted_ {};
    std::size_t wrong_ { 0 };
    std::size_t proved_ { 0 };
    std::size_t begun_ { 0 };
};

bool isDetected(Mutation mutation, Machines machines = Machines::InStep)
{
    return anyCaseSatisfies([mutation, machines](std::uint64_t seed) {
        VersionLedgerSimulation simulation(seed, mutation, machines);
        simulation.run();
        return simulation.wrong() > 0;
    },
        mutatedSchedules);
}

} // namespace

TEST(VersionLedgerSchedule, ProvesOnlyTheVersionThatBeganAStream)
{
    std::size_t proved = 0;
    std::size_t begun = 0;
    Duration longestUnlisted {};
    forEachCase([&](Random& random) {
        VersionLedgerSimulation simulation(random(), Mutation::None);
        simulation.run();
        EXPECT_EQ(simulation.wrong(), 0U);
        // Liveness: a version is listed although writers are killed or refused, and one that has gone is removed in the end.
        EXPECT_TRUE(simulation.settles());
        EXPECT_EQ(simulation.wrong(), 0U);
        proved += simulation.proved();
        begun += simulation.begun();
        longestUnlisted = std::max(longestUnlisted, simulation.longestUnlisted());
    },
        schedules);
    fmt::print("begun={} proved={} longest_unlisted_ms={}\n", begun, proved, std::chrono::duration_cast<std::chrono::milliseconds>(longestUnlisted).count());
    EXPECT_GT(begun, schedules * 2000);
    EXPECT_GT(proved, schedules * 100);
    EXPECT_LT(longestUnlisted, 6s);
}

TEST(VersionLedgerSchedule, DetectsStreamsThatBeginBeforeTheirVersionIsListed)
{
    EXPECT_TRUE(isDetected(Mutation::BeginBeforeListing));
}

TEST(VersionLedgerSchedule, DetectsStreamsThatBeginAtARetiringVersion)
{
    EXPECT_TRUE(isDetected(Mutation::BeginWhileRetiring));
}

TEST(VersionLedgerSchedule, DetectsProofsByAnEarlierRead)
{
    EXPECT_TRUE(isDetected(Mutation::ProveByAnEarlierRead));
}

TEST(VersionLedgerSchedule, DetectsVersionsThatAreRemovedAtOnce)
{
    EXPECT_TRUE(isDetected(Mutation::RemoveAtOnce));
}

TEST(VersionLedgerSchedule, DetectsProofsAfterLostHistory)
{
    EXPECT_TRUE(isDetected(Mutation::IgnoreLostHistory));
}

// Guards against streams that go on at another version at an instance that was out of step while servers of a new version joined.
TEST(VersionLedgerSchedule, ProvesOnlyTheVersionThatBeganAStreamAtInstancesOutOfStep)
{
    std::size_t proved = 0;
    std::size_t begun = 0;
    forEachCase([&](Random& random) {
        VersionLedgerSimulation simulation(random(), Mutation::None, Machines::OutOfStep);
        simulation.run();
        EXPECT_EQ(simulation.wrong(), 0U);
        EXPECT_TRUE(simulation.settles());
        EXPECT_EQ(simulation.wrong(), 0U);
        proved += simulation.proved();
        begun += simulation.begun();
    },
        schedules);
    fmt::print("begun={} proved={}\n", begun, proved);
    EXPECT_GT(begun, schedules * 2000);
    EXPECT_GT(proved, schedules * 100);
}

TEST(VersionLedgerSchedule, DetectsProofsByTheTimeOfTheReply)
{
    EXPECT_TRUE(isDetected(Mutation::ProveByTheTimeOfTheReply, Machines::OutOfStep));
}

} // namespace Ibisturn::Testing
