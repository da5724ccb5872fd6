#include <LibKernel/Asio.h>

#include "FleetSimulation.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Ibisturn::Model {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 50ms;
constexpr Duration simulatedTime = 60s;
constexpr std::size_t instanceCount = 5;
constexpr std::size_t initialServerCount = 6;
constexpr Duration heartbeatPeriod = 1200ms;
constexpr Duration leaseLength = 3s;
constexpr Duration maxLag = 600ms;
constexpr Duration retryDelay = 200ms;
/// Probability that a reply of the store is lost, for each step of a watch and each renewal.
constexpr double lostReplyProbability = 0.003;
/// How long a server keeps serving after it has reported that it is leaving.
constexpr Duration drainTime = 3s;
/// The guaranteed bounds: until an instance that follows the store applies a change, and until an instance without the store
/// has received it from peers.
constexpr Duration applyBound = 3s;
constexpr Duration peerUpdateBound = 5s;
/// Running servers are registered again within this time after the store is available again.
constexpr Duration reregistrationBound = 2s;
/// How old a copy is from which the store comes back, and how soon operators write again what it lacks.
constexpr Duration maxCopyAge = 10s;
constexpr Duration maxOperatorDelay = 1s;

std::string nameOf(std::size_t configuration)
{
    return fmt::format("c{}", configuration);
}

} // namespace

FleetSimulation::FleetSimulation(std::uint64_t seed, FleetMutation mutation)
    : random_(seed)
    , mutation_(mutation)
    , now_(1h)
{
    if (mutation_ == FleetMutation::IgnoreEras)
        store_.hideEras();
    writeConfiguration();
    revisions_.push_back({ TimePoint(), store_.revision() });
    for (std::size_t index = 0; index < initialServerCount; ++index)
        servers_[fmt::format("servers/s{}", serverCount_++)].nextHeartbeat = now_;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        instances_.emplace_back(reader_);
        instances_.back().member.id = InstanceId(fmt::format("i{}", index));
        start(index);
    }
}

void FleetSimulation::start(std::size_t index)
{
    auto& instance = instances_[index];
    Instance restarted(reader_);
    restarted.member = instance.member;
    restarted.storeRefusedUntil = instance.storeRefusedUntil;
    restarted.followsStoreSince = restarted.reachesPeersSince = now_;
    for (auto& watch : restarted.watches)
        watch.retryAt = now_ + randomDuration(200ms);
    instance = std::move(restarted);
}

void FleetSimulation::run()
{
    const auto end = now_ + simulatedTime;
    while (now_ < end && violation_.empty()) {
        now_ += step;
        injectFaults();
        applyOperatorChanges();
        sendHeartbeats();
        if (isStoreDown() && !doLeasesExpire_)
            store_.extendLeases(step);
        store_.expire(now_);
        revisions_.push_back({ now_, store_.revision() });
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            auto& instance = instances_[index];
            updateConnectivity(index);
            if (isFrozen(instance))
                continue;
            advanceWatches(instance);
            requestPeerUpdates(index);
            instance.fleetState->advance(now_);
            check(instance);
        }
    }
}

bool FleetSimulation::isPartitioned(std::size_t left, std::size_t right) const
{
    return now_ < partitionedUntil_ && partition_.contains(left) != partition_.contains(right);
}

void FleetSimulation::injectFaults()
{
    if (!isStoreDown() && chance(0.002)) {
        storeDownUntil_ = now_ + 500ms + randomDuration(8s);
        doLeasesExpire_ = chance(0.5);
    }
    if (isStoreDown())
        storeLastDownAt_ = now_;
    if (isStoreDown() && operatorWritesAgainAt_)
        storeLastReturnedAt_ = now_;
    if (!isStoreDown() && !operatorWritesAgainAt_ && chance(0.0015))
        restoreStore();
    if (chance(0.006)) {
        const auto until = now_ + 1s + randomDuration(9s);
        for (auto& instance : instances_) {
            if (chance(0.35))
                instance.storeRefusedUntil = until;
        }
    }
    if (now_ >= partitionedUntil_ && chance(0.004)) {
        partitionedUntil_ = now_ + 1s + randomDuration(6s);
        partition_.clear();
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            if (chance(0.4))
                partition_.insert(index);
        }
    }
    if (chance(0.004))
        store_.compact();
    if (chance(0.004))
        instances_[randomIndex(instances_.size())].frozenUntil = now_ + randomDuration(4s);
    if (chance(0.003))
        start(randomIndex(instances_.size()));
    auto& watch = instances_[randomIndex(instances_.size())].watches[randomIndex(3)];
    if (chance(0.05))
        watch.lag = randomDuration(maxLag);
}

// The store is away for a moment and comes back from an older copy. Operators and servers write again what they had written.
void FleetSimulation::restoreStore()
{
    const auto copyMadeAt = now_ - randomDuration(maxCopyAge);
    store_.restore(now_, std::min(revisionAt(copyMadeAt), store_.revision()));
    revisions_ = { { TimePoint(), store_.revision() } };
    storeDownUntil_ = now_ + 500ms + randomDuration(2s);
    doLeasesExpire_ = false;
    operatorWritesAgainAt_ = storeDownUntil_ + randomDuration(maxOperatorDelay);
    for (auto& [key, server] : servers_)
        server.lease.reset();
}

void FleetSimulation::writeConfiguration()
{
    configurations_.push_back({ now_ });
    store_.put("op/config", nameOf(configurations_.size()));
}

void FleetSimulation::writeEntry(const std::string& key, Server& server)
{
    store_.put(key, fmt::format("{}#{}", server.leavingSince ? "leaving" : "model", ++server.sequence), server.lease);
}

void FleetSimulation::applyOperatorChanges()
{
    if (isStoreDown())
        return;
    if (operatorWritesAgainAt_) {
        if (now_ < *operatorWritesAgainAt_)
            return;
        operatorWritesAgainAt_.reset();
        store_.put("op/config", nameOf(configurations_.size()));
        configurations_.back().at = now_;
    }
    if (chance(0.02)) {
        writeConfiguration();
        // The operator repeats a write that was not acknowledged.
        if (chance(0.3))
            store_.put("op/config", nameOf(configurations_.size()));
    }
    auto& [key, server] = *std::next(servers_.begin(), static_cast<std::ptrdiff_t>(randomIndex(servers_.size())));
    const bool isUp = !server.leavingSince && !server.crashedAt;
    if (isUp && server.lease && chance(0.004)) {
        server.leavingSince = now_;
        writeEntry(key, server);
        servers_[fmt::format("servers/s{}", serverCount_++)].nextHeartbeat = now_;
    } else if (isUp && server.lease && chance(0.002)) {
        server.crashedAt = now_;
        servers_[fmt::format("servers/s{}", serverCount_++)].nextHeartbeat = now_;
    }
}

void FleetSimulation::sendHeartbeats()
{
    if (isStoreDown())
        return;
    for (auto& [key, server] : servers_) {
        if (server.crashedAt)
            continue;
        if (server.leavingSince && now_ > *server.leavingSince + drainTime) {
            store_.remove(key);
            server.crashedAt = now_;
            continue;
        }
        if (now_ < server.nextHeartbeat)
            continue;
        server.nextHeartbeat = now_ + heartbeatPeriod;
        // A server whose renewal gets no reply treats its lease as lost.
        if (server.lease && store_.renew(now_, *server.lease) && !chance(lostReplyProbability))
            continue;
        server.lease = store_.grant(now_, leaseLength);
        writeEntry(key, server);
    }
}

Revision FleetSimulation::revisionAt(TimePoint time) const
{
    Revision found;
    for (auto change = revisions_.rbegin(); change != revisions_.rend(); ++change) {
        if (change->at <= time)
            return change->revision;
    }
    return found;
}

void FleetSimulation::advanceWatches(Instance& instance)
{
    const auto& prefixes = instance.fleetState->prefixes();
    for (std::size_t index = 0; index < prefixes.size(); ++index) {
        auto& watch = instance.watches[index];
        if (isStoreUnavailableTo(instance)) {
            watch.isWatching = false;
            if (mutation_ != FleetMutation::IgnoreUnavailableStore)
                instance.fleetState->onStoreUnavailable(now_);
            continue;
        }
        if (!watch.isWatching) {
            if (now_ >= watch.retryAt)
                list(instance, index);
            continue;
        }
        if (chance(lostReplyProbability)) {
            watch.isWatching = false;
            instance.fleetState->onStoreUnavailable(now_);
            watch.retryAt = now_ + retryDelay;
            continue;
        }
        const auto upTo = revisionAt(now_ - watch.lag);
        if (upTo <= watch.position && upTo.era() == watch.position.era() && watch.position <= store_.revision())
            continue;
        const auto changes = store_.changes(prefixes[index], watch.position, upTo);
        watch.isWatching = changes.has_value();
        if (!changes)
            continue;
        watch.position = upTo;
        if (!changes->empty())
            instance.fleetState->onChanges(now_, *changes);
    }
}

void FleetSimulation::list(Instance& instance, std::size_t prefix)
{
    auto& watch = instance.watches[prefix];
    const auto& name = instance.fleetState->prefixes()[prefix];
    // A read may be served by a store replica that lags behind.
    const auto position = revisionAt(now_ - randomDuration(500ms));
    watch.retryAt = now_ + retryDelay;
    instance.fleetState->onListing(now_, { name, position, store_.list(name, position) });
    instance.fleetState->onStoreAvailable(now_);
    watch.isWatching = true;
    watch.position = position;
}

void FleetSimulation::requestPeerUpdates(std::size_t index)
{
    auto& instance = instances_[index];
    std::vector<const Member*> others;
    for (const auto& other : instances_) {
        if (other.member.id != instance.member.id)
            others.push_back(&other.member);
    }
    const auto queried = instance.updateRequests.next(now_, instance.fleetState->isStoreUnavailable(now_), others);
    if (mutation_ == FleetMutation::NeverQueryPeers)
        return;
    for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
        auto& other = instances_[peer];
        if (std::find(queried.begin(), queried.end(), other.member.id) == queried.end() || isPartitioned(index, peer) || isFrozen(other))
            continue;
        auto positions = instance.fleetState->positions();
        if (mutation_ == FleetMutation::SharedWatchPosition)
            std::fill(positions.begin(), positions.end(), *std::max_element(positions.begin(), positions.end()));
        instance.fleetState->onPeerUpdate(now_, other.fleetState->updateAfter(now_, positions));
    }
}

void FleetSimulation::updateConnectivity(std::size_t index)
{
    auto& instance = instances_[index];
    if (isFrozen(instance) || isStoreUnavailableTo(instance))
        instance.followsStoreSince = now_;
    // Peers can inform this instance only if it reaches all of them and at least one of them follows the store.
    const bool areAllPeersReachable = now_ >= partitionedUntil_;
    const bool doesAnyPeerFollowStore = std::any_of(instances_.begin(), instances_.end(), [this](const Instance& other) { return now_ - other.followsStoreSince > applyBound; });
    if (isFrozen(instance) || !areAllPeersReachable || !doesAnyPeerFollowStore || !instance.fleetState->isComplete())
        instance.reachesPeersSince = now_;
}

void FleetSimulation::check(Instance& instance)
{
    const auto configuration = configurationOf(instance);
    if (configuration < instance.configuration)
        fail(instance, fmt::format("its configuration reverted from {} to {}", instance.configuration, configuration));
    instance.configuration = configuration;
    TimePoint visibilityHorizon {};
    if (now_ - instance.followsStoreSince > applyBound)
        visibilityHorizon = now_ - applyBound;
    if (now_ - instance.reachesPeersSince > peerUpdateBound)
        visibilityHorizon = std::max(visibilityHorizon, now_ - peerUpdateBound);
    for (std::size_t later = configuration; later < configurations_.size(); ++later) {
        const auto& change = configurations_[later];
        if (change.at <= visibilityHorizon)
            fail(instance, fmt::format("its configuration is {}, although {} was written {} ms ago", configuration, later + 1, std::chrono::duration_cast<std::chrono::milliseconds>(now_ - change.at).count()));
    }
    checkServers(instance, visibilityHorizon);
}

std::size_t FleetSimulation::configurationOf(const Instance& instance) const
{
    const auto& snapshot = instance.fleetState->snapshot();
    auto configuration = snapshot ? configurations_.size() : 0;
    while (configuration > 0 && !snapshot->findWorkspace(WorkspaceId(nameOf(configuration))))
        --configuration;
    return configuration;
}

void FleetSimulation::checkServers(Instance& instance, TimePoint visibilityHorizon)
{
    std::set<std::string> usable;
    for (const auto& state : instance.fleetState->registry().usable())
        usable.insert("servers/" + state.server.id.value());
    // All leases run anew after a return, and the entry of a server that has crashed may last as long as one of them from then on.
    const bool hasCopyExpired = now_ - storeLastReturnedAt_ > leaseLength + reregistrationBound + applyBound;
    const bool isStoreStable = now_ - storeLastDownAt_ > leaseLength + reregistrationBound;
    for (const auto& [key, server] : servers_) {
        const bool isUsable = usable.contains(key);
        // A server that has ended can't write again that it was leaving; those who knew it are checked below.
        const bool canTell = !server.crashedAt || hasCopyExpired;
        if (isUsable && canTell && server.leavingSince && *server.leavingSince <= visibilityHorizon)
            fail(instance, fmt::format("{} is used, although it has been leaving for {} ms", key, std::chrono::duration_cast<std::chrono::milliseconds>(now_ - *server.leavingSince).count()));
        const bool isUnregistered = server.crashedAt && *server.crashedAt + leaseLength + reregistrationBound <= visibilityHorizon;
        if (isUsable && isUnregistered && isStoreStable && now_ - instance.followsStoreSince > applyBound + reregistrationBound)
            fail(instance, key + " is used, although it is no longer registered");
        if (isUsable && instance.knownToLeave.contains(key))
            fail(instance, key + " is used again, although the instance knew that it is leaving");
        if (!isUsable && instance.everUsable.contains(key) && server.leavingSince && *server.leavingSince <= visibilityHorizon)
            instance.knownToLeave.insert(key);
        if (isUsable)
            instance.everUsable.insert(key);
        // An instance that was frozen sees entries that were registered again only after its watches have caught up.
        const bool hasCaughtUp = now_ - instance.frozenUntil > maxLag + step;
        const bool isServing = !server.leavingSince && !server.crashedAt && hasCaughtUp;
        if (isServing && !isUsable && instance.everUsable.contains(key))
            fail(instance, key + " is not used, although it is serving");
    }
}

void FleetSimulation::fail(const Instance& instance, const std::string& problem)
{
    const auto age = [this](TimePoint time) { return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - time).count(); };
    const auto state = fmt::format("follows the store for {} ms, peers for {} ms, positions {}, store at {}", age(instance.followsStoreSince), age(instance.reachesPeersSince),
        fmt::join(instance.fleetState->positions(), "/"), store_.revision());
    if (violation_.empty())
        violation_ = fmt::format("at {} ms, {} ({}): {}", std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() - 1h).count(), instance.member.id, state, problem);
}

} // namespace Ibisturn::Model
