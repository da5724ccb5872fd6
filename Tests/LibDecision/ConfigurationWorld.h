#pragma once

#include <LibConfiguration/RecordHead.h>
#include <LibDecision/Configuration/SnapshotAdopter.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Ibisturn::Testing {

using namespace std::chrono_literals;

/// Size of the simulated fleet and one-way latencies of its links.
struct WorldShape {
    std::size_t dataCentres { 3 };
    std::size_t instancesEach { 3 };
    std::size_t instancesInFirst { 0 };
    Duration within { 1ms };
    Duration between { 55ms };
    Duration store { 55ms };
    Duration tickPeriod { 100ms };
    std::uint64_t seed { 1 };
};

/// Simulates instances with a store, links and clocks in virtual time, with an observer that checks them against
/// every state that the store had.
class ConfigurationWorld {
public:
    struct Node {
        InstanceId id;
        std::size_t dataCentre { 0 };
        std::unique_ptr<SnapshotAdopter> adopter;
        Duration clockOffset {};
        bool isFrozen { false };
        bool hasMembership { false };
        bool canReachStore { true };
        std::uint64_t incarnation { 0 };
        std::vector<std::function<void()>> deferredEvents;
        Revision adoptedRevision { noRevision };
        Readiness readiness { Readiness::Starting };
        std::vector<std::pair<TimePoint, Revision>> history;
        /// The records that were withdrawn in memory, with their revisions.
        std::map<std::string, Revision> withdrawnRevisions;
        std::uint64_t bytesSent { 0 };
        std::uint64_t bytesReceived { 0 };
    };
    struct Commit {
        TimePoint at;
        std::map<std::string, std::string> records;
    };

    explicit ConfigurationWorld(const WorldShape& shape)
        : shape_(shape)
        , random_(shape.seed)
    {
        commits_[Revision(1)] = { now_, {} };
        for (std::size_t dataCentre = 0; dataCentre < shape.dataCentres; ++dataCentre) {
            const auto count = dataCentre == 0 && shape.instancesInFirst > 0 ? shape.instancesInFirst : shape.instancesEach;
            for (std::size_t index = 0; index < count; ++index)
                addNode(dataCentre, index);
        }
    }

    TimePoint now() const { return now_; }
    std::vector<Node>& nodes() { return nodes_; }
    const std::map<Revision, Commit>& commits() const { return commits_; }
    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t storeCalls() const { return storeCalls_; }
    std::size_t watchCount() const { return watches_.size(); }

    bool isStoreDown { false };
    bool dropsReplies { false };
    bool skipsWatchEvents { false };
    Duration addedStoreLatency {};
    /// Links that are cut, each in one direction.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    /// Returns the size of a message in bytes, for benchmarks.
    std::function<std::uint64_t(const PeerAction&)> measure;
    /// Called when a node's revision changed.
    std::function<void(std::size_t, Revision)> onAdopted;
    /// Corrupts updates on delivery, so that a test can show that the observer detects it.
    std::function<void(ConfigurationUpdate&)> corrupt;

    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_); }

    /// Writes or deletes a record like an accepted write by an operator.
    Revision write(const std::string& name, const std::optional<std::string>& value)
    {
        const auto previous = commits_.rbegin()->first;
        position_ = Revision(position_.number() + static_cast<std::int64_t>(1 + pick(3)));
        auto records = commits_.rbegin()->second.records;
        const auto key = "/i/records/keys/" + name;
        if (value)
            records[key] = *value;
        else
            records.erase(key);
        modified_[key] = position_;
        commits_[position_] = { now_, std::move(records) };
        const std::vector<RecordChange> changes { { key, value, position_ }, { headKey(), formatRecordHead({ previous }), position_ } };
        if (!skipsWatchEvents)
            notifyWatches(changes);
        return position_;
    }

    void setStoreDown(bool isDown)
    {
        isStoreDown = isDown;
        if (isDown)
            endWatches([](std::size_t) { return true; });
    }

    void endWatches(const std::function<bool(std::size_t)>& isChosen)
    {
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            const auto [node, call] = *watch;
            if (!isChosen(node)) {
                ++watch;
                continue;
            }
            watch = watches_.erase(watch);
            reply(node, nodes_[node].incarnation, [this, node = node, call = call] { nodes_[node].adopter->onStoreFailed(local(node), call); });
        }
    }

    void freeze(std::size_t node) { nodes_[node].isFrozen = true; }

    void thaw(std::size_t node)
    {
        nodes_[node].isFrozen = false;
        auto waiting = std::move(nodes_[node].deferredEvents);
        nodes_[node].deferredEvents.clear();
        for (const auto& event : waiting)
            event();
    }

    void restart(std::size_t index)
    {
        auto& node = nodes_[index];
        ++node.incarnation;
        std::erase_if(watches_, [index](const auto& watch) { return watch.first == index; });
        node.isFrozen = false;
        node.hasMembership = false;
        node.deferredEvents.clear();
        node.adoptedRevision = noRevision;
        node.readiness = Readiness::Starting;
        node.history.clear();
        node.withdrawnRevisions.clear();
        start(index);
    }

    void run(Duration duration)
    {
        const auto end = now_ + duration;
        while (!events_.empty() && events_.top().at <= end) {
            now_ = events_.top().at;
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
        now_ = end;
    }

    /// An operator withdraws a key at an instance, which may be unable to reach the store.
    void withdraw(std::size_t node, const std::string& name, Revision revision)
    {
        perform(node, nodes_[node].adopter->withdraw(local(node), { "/i/records/keys/" + name, revision, "id", "ann", "now" }));
    }

    /// Whether an instance still serves the key.
    bool serves(std::size_t node, const std::string& name) const
    {
        const auto& adopter = *nodes_[node].adopter;
        const auto key = "/i/records/keys/" + name;
        return adopter.readiness() == Readiness::Ready && adopter.log().records().entries().contains(key) && !adopter.withdrawn().contains(key);
    }

    Revision latest() const { return commits_.rbegin()->first; }

    bool areAllAt(Revision revision) const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [revision](const Node& node) { return node.adopter->readiness() == Readiness::Ready && node.adopter->log().revision() >= revision; });
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    static std::string headKey() { return recordHeadKey("/i/"); }

    void addNode(std::size_t dataCentre, std::size_t index)
    {
        Node node;
        node.id = InstanceId(fmt::format("dc{}-{}", dataCentre, index));
        node.dataCentre = dataCentre;
        node.clockOffset = std::chrono::seconds(1 + pick(1000));
        nodes_.push_back(std::move(node));
        byId_[nodes_.back().id] = nodes_.size() - 1;
        start(nodes_.size() - 1);
    }

    void start(std::size_t index)
    {
        auto& node = nodes_[index];
        const DataCentreId dataCentre(fmt::format("dc{}", node.dataCentre));
        node.adopter = std::make_unique<SnapshotAdopter>(InstanceIdentity { node.id, RegionId("r"), dataCentre }, "/i/", Incarnation((index + 1) * 0x9e3779b97f4a7c15 + node.incarnation), local(index));
        at(now_ + std::chrono::milliseconds(pick(100)), [this, index, incarnation = node.incarnation] { tick(index, incarnation); });
    }

    std::vector<Member> members() const
    {
        std::vector<Member> all;
        for (const auto& node : nodes_)
            all.push_back({ node.id, RegionId("r"), DataCentreId(fmt::format("dc{}", node.dataCentre)), {}, {}, MemberState::Live });
        return all;
    }

    void at(TimePoint time, std::function<void()> action) { events_.push({ time, ++lastEvent_, std::move(action) }); }

    TimePoint local(std::size_t node) const { return now_ + nodes_[node].clockOffset; }

    void tick(std::size_t index, std::uint64_t incarnation)
    {
        if (nodes_[index].incarnation != incarnation)
            return;
        if (!nodes_[index].isFrozen) {
            if (!std::exchange(nodes_[index].hasMembership, true))
                nodes_[index].adopter->setInstances(members());
            perform(index, nodes_[index].adopter->tick(local(index)));
        }
        at(now_ + shape_.tickPeriod, [this, index, incarnation] { tick(index, incarnation); });
    }

    // Runs `event` on the node, after it thaws if it is frozen, unless the node was restarted.
    void reply(std::size_t node, std::uint64_t incarnation, std::function<void()> event)
    {
        if (nodes_[node].incarnation != incarnation)
            return;
        if (nodes_[node].isFrozen)
            nodes_[node].deferredEvents.emplace_back([this, node, incarnation, event = std::move(event)] { reply(node, incarnation, event); });
        else
            event();
    }

    void perform(std::size_t node, AdopterActions actions)
    {
        for (const auto& action : actions.store)
            std::visit([this, node](const auto& call) { callStore(node, call); }, action);
        for (auto& action : actions.peers)
            send(node, std::move(action));
        for (const auto& withdrawal : actions.withdrawals)
            writeWithdrawal(node, withdrawal);
        observe(node);
    }

    Duration delay(Duration oneWay) { return oneWay + std::chrono::microseconds(pick(1 + static_cast<std::size_t>(oneWay.count()) / 4000)); }

    Duration storeDelay(std::size_t node) { return delay(nodes_[node].dataCentre == 0 ? shape_.within : shape_.store); }

    void writeWithdrawal(std::size_t node, const EmergencyWithdrawal& withdrawal)
    {
        at(now_ + storeDelay(node), [this, node, withdrawal] {
            const auto found = modified_.find(withdrawal.key);
            const bool isPresent = found != modified_.end() && commits_.rbegin()->second.records.contains(withdrawal.key);
            if (!isStoreDown && nodes_[node].canReachStore && isPresent && found->second == withdrawal.expected)
                write(withdrawal.key.substr(std::string_view("/i/records/keys/").size()), std::nullopt);
        });
    }

    template <typename Answer>
    void callStoreWith(std::size_t node, StoreCallId call, Answer answer)
    {
        ++storeCalls_;
        const auto incarnation = nodes_[node].incarnation;
        at(now_ + storeDelay(node) + addedStoreLatency, [this, node, incarnation, call, answer] {
            if (!nodes_[node].canReachStore || dropsReplies)
                return;
            const auto event = isStoreDown ? std::function<void()>([this, node, call] { nodes_[node].adopter->onStoreFailed(local(node), call); }) : answer();
            at(now_ + storeDelay(node), [this, node, incarnation, event] {
                if (nodes_[node].canReachStore)
                    reply(node, incarnation, event);
            });
        });
    }

    void callStore(std::size_t node, const ReadStore& read)
    {
        callStoreWith(node, read.call, [this, node, call = read.call] {
            StoreRecords records { position_, { { headKey(), formatRecordHead({ noRevision }), latest() } } };
            for (const auto& [key, value] : commits_.rbegin()->second.records)
                records.records.push_back({ key, value, modified_.at(key) });
            return std::function<void()>([this, node, call, records] { perform(node, nodes_[node].adopter->onRead(local(node), call, records)); });
        });
    }

    void callStore(std::size_t node, const ReadHead& read)
    {
        callStoreWith(node, read.call, [this, node, call = read.call] {
            return std::function<void()>([this, node, call, head = latest()] { perform(node, nodes_[node].adopter->onHead(local(node), call, head)); });
        });
    }

    void callStore(std::size_t node, const WatchStore& watch)
    {
        std::erase_if(watches_, [node](const auto& other) { return other.first == node; });
        callStoreWith(node, watch.call, [this, node, watch] {
            watches_.emplace_back(node, watch.call);
            const auto after = watch.after;
            return std::function<void()>([this, node, watch, after] {
                auto previous = commits_.begin();
                for (auto commit = std::next(previous); commit != commits_.end(); previous = commit++) {
                    if (commit->first > after)
                        perform(node, nodes_[node].adopter->onWatched(local(node), watch.call, commit->first, difference(*previous, *commit)));
                }
            });
        });
    }

    void callStore(std::size_t node, const StopWatch& /*stop*/)
    {
        std::erase_if(watches_, [node](const auto& watch) { return watch.first == node; });
    }

    static std::vector<RecordChange> difference(const std::pair<const Revision, Commit>& before, const std::pair<const Revision, Commit>& after)
    {
        std::vector<RecordChange> changes { { headKey(), formatRecordHead({ before.first }), after.first } };
        for (const auto& [key, value] : before.second.records) {
            if (!after.second.records.contains(key))
                changes.push_back({ key, std::nullopt, after.first });
        }
        for (const auto& [key, value] : after.second.records) {
            const auto found = before.second.records.find(key);
            if (found == before.second.records.end() || found->second != value)
                changes.push_back({ key, value, after.first });
        }
        return changes;
    }

    void notifyWatches(const std::vector<RecordChange>& changes)
    {
        for (const auto& [node, call] : watches_) {
            if (!nodes_[node].canReachStore)
                continue;
            at(now_ + storeDelay(node), [this, node = node, call = call, incarnation = nodes_[node].incarnation, changes] {
                reply(node, incarnation, [this, node, call, changes] { perform(node, nodes_[node].adopter->onWatched(local(node), call, changes.back().revision, changes)); });
            });
        }
    }

    void send(std::size_t from, PeerAction action)
    {
        const auto& peer = std::visit([](const auto& message) -> const InstanceId& { return message.peer; }, action);
        const auto to = byId_.at(peer);
        const auto bytes = measure ? measure(action) : 0;
        nodes_[from].bytesSent += bytes;
        nodes_[to].bytesReceived += bytes;
        if (cuts.contains({ from, to }))
            return;
        const auto oneWay = nodes_[from].dataCentre == nodes_[to].dataCentre ? shape_.within : shape_.between;
        at(now_ + delay(oneWay), [this, from, to, incarnation = nodes_[to].incarnation, action = std::move(action)] {
            reply(to, incarnation, [this, from, to, action] { deliver(from, to, action); });
        });
    }

    void deliver(std::size_t from, std::size_t to, const PeerAction& action)
    {
        auto& adopter = *nodes_[to].adopter;
        if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action))
            return perform(to, adopter.onHeartbeat(local(to), nodes_[from].id, heartbeat->heartbeat));
        auto update = std::get<SendUpdate>(action).update;
        if (corrupt)
            corrupt(update);
        perform(to, adopter.onUpdate(local(to), update));
    }

    void fail(const Node& node, const std::string& what) { violations_.push_back(fmt::format("{} at {} ms: {}", node.id, now_.time_since_epoch() / 1ms, what)); }

    void observe(std::size_t index)
    {
        auto& node = nodes_[index];
        const auto revision = node.adopter->log().revision();
        if (revision < node.adoptedRevision)
            fail(node, fmt::format("revision fell from {} to {}", node.adoptedRevision, revision));
        if (revision != node.adoptedRevision) {
            node.adoptedRevision = revision;
            node.history.emplace_back(now_, revision);
            checkContent(node);
            if (onAdopted)
                onAdopted(index, revision);
        }
        checkAge(index);
        checkWithdrawn(node);
        const auto readiness = node.adopter->readiness();
        if (node.readiness == Readiness::Starting && readiness == Readiness::Ready)
            checkStart(index);
        node.readiness = readiness;
    }

    void checkContent(const Node& node)
    {
        const auto commit = commits_.find(node.adoptedRevision);
        if (commit == commits_.end())
            return fail(node, fmt::format("revision {} was never accepted", node.adoptedRevision));
        std::map<std::string, std::string> texts;
        for (const auto& [key, entry] : node.adopter->log().records().entries())
            texts[key] = entry.json;
        if (texts != commit->second.records)
            fail(node, fmt::format("records differ from those accepted at {}", node.adoptedRevision));
    }

    // A withdrawn record must not be served again; only a later revision may replace it.
    void checkWithdrawn(Node& node)
    {
        const auto withdrawn = node.adopter->withdrawn();
        const auto& entries = node.adopter->log().records().entries();
        for (const auto& key : withdrawn)
            node.withdrawnRevisions[key] = entries.find(key)->second.revision;
        for (const auto& [key, withdrawnRevision] : node.withdrawnRevisions) {
            const auto found = entries.find(key);
            if (found != entries.end() && found->second.revision <= withdrawnRevision && !withdrawn.contains(key))
                fail(node, fmt::format("serves {} again, which was withdrawn at {}", key, withdrawnRevision));
        }
    }

    // The reported age of an instance's records must not be too low.
    void checkAge(std::size_t index)
    {
        const auto age = nodes_[index].adopter->storeAge(local(index));
        if (!age)
            return;
        Revision expected(1);
        for (const auto& [revision, commit] : commits_) {
            if (commit.at < now_ - *age)
                expected = revision;
        }
        if (nodes_[index].adoptedRevision < expected)
            fail(nodes_[index], fmt::format("reports that its records are {} ms old but lacks {}", *age / 1ms, expected));
    }

    // An instance that becomes ready must have every revision that a reachable instance of its data centre has had in force for
    // the bound of 3 s.
    void checkStart(std::size_t index)
    {
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            const auto& peer = nodes_[other];
            if (other == index || peer.dataCentre != nodes_[index].dataCentre || peer.isFrozen || peer.adopter->readiness() != Readiness::Ready)
                continue;
            if (cuts.contains({ index, other }) || cuts.contains({ other, index }))
                continue;
            for (const auto& [time, revision] : peer.history) {
                if (time <= now_ - 3s && revision > nodes_[index].adoptedRevision)
                    return fail(nodes_[index], fmt::format("serves at {} while {} has had {} in force", nodes_[index].adoptedRevision, peer.id, revision));
            }
        }
    }

    WorldShape shape_;
    std::mt19937_64 random_;
    TimePoint now_ { 1000s };
    std::uint64_t lastEvent_ { 0 };
    std::priority_queue<Event> events_;
    std::vector<Node> nodes_;
    std::map<InstanceId, std::size_t> byId_;
    std::map<Revision, Commit> commits_;
    Revision position_ { 1 };
    std::map<std::string, Revision> modified_;
    std::vector<std::pair<std::size_t, StoreCallId>> watches_;
    std::uint64_t storeCalls_ { 0 };
    std::vector<std::string> violations_;
};

} // namespace Ibisturn::Testing
