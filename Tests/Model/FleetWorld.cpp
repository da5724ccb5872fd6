#include <LibKernel/Asio.h>

#include "FleetWorld.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Ibisturn::Model {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 50ms;
constexpr Duration length = 60s;
constexpr std::size_t instanceCount = 5;
constexpr std::size_t firstServers = 6;
constexpr Duration beatPeriod = 1200ms;
constexpr Duration leaseLength = 3s;
constexpr Duration longestLag = 600ms;
constexpr Duration retryPause = 200ms;
/// Probability that a reply of the store is lost, for each step of a watch and each renewal.
constexpr double lostReplyShare = 0.003;
/// How long a server keeps serving after it has reported that it is leaving.
constexpr Duration drainTime = 3s;
/// The guaranteed bounds: until an instance that follows the store applies a change, and until a peer forwards it.
constexpr Duration applyBound = 3s;
constexpr Duration tellBound = 5s;
/// Running servers are registered again within this time after the store is available again.
constexpr Duration returnBound = 2s;

} // namespace

FleetWorld::FleetWorld(std::uint64_t seed, FleetMutation mutation)
    : random_(seed)
    , mutation_(mutation)
    , now_(1h)
{
    configurations_.push_back({ now_, store_.put("op/config", "c0") });
    for (std::size_t index = 0; index < firstServers; ++index)
        servers_[fmt::format("servers/s{}", serverCount_++)].nextBeat = now_;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        instances_.emplace_back(reader_);
        instances_.back().member.id = InstanceId(fmt::format("i{}", index));
        start(index);
    }
}

void FleetWorld::start(std::size_t index)
{
    auto& instance = instances_[index];
    Instance fresh(reader_);
    fresh.member = instance.member;
    fresh.turnedAwayUntil = instance.turnedAwayUntil;
    fresh.informedSince = fresh.toldSince = now_;
    for (auto& follower : fresh.followers)
        follower.nextTry = now_ + within(200ms);
    instance = std::move(fresh);
}

void FleetWorld::run()
{
    const auto end = now_ + length;
    while (now_ < end && violation_.empty()) {
        now_ += step;
        disturb();
        operate();
        beat();
        if (isStoreDown() && !doesLapse_)
            store_.extendLeases(step);
        store_.expire(now_);
        revisions_.push_back({ now_, store_.revision() });
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            auto& instance = instances_[index];
            noteTouch(index);
            if (isFrozen(instance))
                continue;
            follow(instance);
            ask(index);
            instance.knowledge->advance(now_);
            check(instance);
        }
    }
}

bool FleetWorld::isCut(std::size_t left, std::size_t right) const
{
    return now_ < cutUntil_ && cutOff_.contains(left) != cutOff_.contains(right);
}

void FleetWorld::disturb()
{
    if (!isStoreDown() && chance(0.002)) {
        storeDownUntil_ = now_ + 500ms + within(8s);
        doesLapse_ = chance(0.5);
    }
    if (isStoreDown())
        storeTroubledUntil_ = now_;
    if (chance(0.006)) {
        const auto until = now_ + 1s + within(9s);
        for (auto& instance : instances_) {
            if (chance(0.35))
                instance.turnedAwayUntil = until;
        }
    }
    if (now_ >= cutUntil_ && chance(0.004)) {
        cutUntil_ = now_ + 1s + within(6s);
        cutOff_.clear();
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            if (chance(0.4))
                cutOff_.insert(index);
        }
    }
    if (chance(0.004))
        store_.compact();
    if (chance(0.004))
        instances_[pick(instances_.size())].frozenUntil = now_ + within(4s);
    if (chance(0.003))
        start(pick(instances_.size()));
    auto& follower = instances_[pick(instances_.size())].followers[pick(3)];
    if (chance(0.05))
        follower.lag = within(longestLag);
}

void FleetWorld::operate()
{
    if (isStoreDown())
        return;
    if (chance(0.02)) {
        const auto name = fmt::format("c{}", configurations_.size());
        configurations_.push_back({ now_, store_.put("op/config", name) });
        // The operator repeats a write that was not acknowledged.
        if (chance(0.3))
            store_.put("op/config", name);
    }
    auto& [key, server] = *std::next(servers_.begin(), static_cast<std::ptrdiff_t>(pick(servers_.size())));
    const bool isUp = !server.leavingSince && !server.crashedAt;
    if (isUp && server.lease && chance(0.004)) {
        server.leavingSince = now_;
        store_.put(key, "leaving", server.lease);
        servers_[fmt::format("servers/s{}", serverCount_++)].nextBeat = now_;
    } else if (isUp && server.lease && chance(0.002)) {
        server.crashedAt = now_;
        servers_[fmt::format("servers/s{}", serverCount_++)].nextBeat = now_;
    }
}

void FleetWorld::beat()
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
        if (now_ < server.nextBeat)
            continue;
        server.nextBeat = now_ + beatPeriod;
        // A server whose renewal gets no reply treats its lease as lost.
        if (server.lease && store_.renew(now_, *server.lease) && !chance(lostReplyShare))
            continue;
        server.lease = store_.grant(now_, leaseLength);
        store_.put(key, server.leavingSince ? "leaving" : "model", server.lease);
    }
}

Revision FleetWorld::revisionAt(TimePoint time) const
{
    Revision found;
    for (auto change = revisions_.rbegin(); change != revisions_.rend(); ++change) {
        if (change->at <= time)
            return change->revision;
    }
    return found;
}

void FleetWorld::follow(Instance& instance)
{
    const auto& prefixes = instance.knowledge->prefixes();
    for (std::size_t index = 0; index < prefixes.size(); ++index) {
        auto& follower = instance.followers[index];
        if (isAwayFrom(instance)) {
            follower.isWatching = false;
            if (mutation_ != FleetMutation::AwayUnnoticed)
                instance.knowledge->onStoreAway(now_);
            continue;
        }
        if (!follower.isWatching) {
            if (now_ >= follower.nextTry)
                list(instance, index);
            continue;
        }
        if (chance(lostReplyShare)) {
            follower.isWatching = false;
            instance.knowledge->onStoreAway(now_);
            follower.nextTry = now_ + retryPause;
            continue;
        }
        const auto upTo = revisionAt(now_ - follower.lag);
        if (upTo <= follower.position)
            continue;
        const auto changes = store_.changes(prefixes[index], follower.position, upTo);
        follower.isWatching = changes.has_value();
        if (!changes)
            continue;
        follower.position = upTo;
        if (!changes->empty())
            instance.knowledge->onChanges(now_, *changes);
    }
}

void FleetWorld::list(Instance& instance, std::size_t prefix)
{
    auto& follower = instance.followers[prefix];
    const auto& name = instance.knowledge->prefixes()[prefix];
    // A read may be served by a store replica that lags behind.
    const auto position = revisionAt(now_ - within(500ms));
    follower.nextTry = now_ + retryPause;
    instance.knowledge->onListing(now_, { name, position, store_.list(name, position) });
    instance.knowledge->onStoreBack(now_);
    follower.isWatching = true;
    follower.position = position;
}

void FleetWorld::ask(std::size_t index)
{
    auto& instance = instances_[index];
    std::vector<const Member*> others;
    for (const auto& other : instances_) {
        if (other.member.id != instance.member.id)
            others.push_back(&other.member);
    }
    const auto asked = instance.wishes.next(now_, instance.knowledge->isStoreAway(now_), others);
    if (mutation_ == FleetMutation::NobodyAsked)
        return;
    for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
        auto& other = instances_[peer];
        if (std::find(asked.begin(), asked.end(), other.member.id) == asked.end() || isCut(index, peer) || isFrozen(other))
            continue;
        auto positions = instance.knowledge->positions();
        if (mutation_ == FleetMutation::OnePositionForAll)
            std::fill(positions.begin(), positions.end(), *std::max_element(positions.begin(), positions.end()));
        instance.knowledge->onPeerChanges(now_, other.knowledge->changesAfter(positions), other.knowledge->view(now_));
    }
}

void FleetWorld::noteTouch(std::size_t index)
{
    auto& instance = instances_[index];
    if (isFrozen(instance) || isAwayFrom(instance))
        instance.informedSince = now_;
    // Peers can inform this instance only if it reaches all of them and at least one of them follows the store.
    const bool areAllReached = now_ >= cutUntil_;
    const bool doesOneFollow = std::any_of(instances_.begin(), instances_.end(), [this](const Instance& other) { return now_ - other.informedSince > applyBound; });
    if (isFrozen(instance) || !areAllReached || !doesOneFollow || !instance.knowledge->isComplete())
        instance.toldSince = now_;
}

void FleetWorld::check(Instance& instance)
{
    const auto& snapshot = instance.knowledge->snapshot();
    const auto revision = snapshot ? snapshot->revision() : Revision();
    if (revision < instance.configuration)
        fail(instance, fmt::format("its configuration reverted from {} to {}", instance.configuration, revision));
    instance.configuration = revision;
    TimePoint settled {};
    if (now_ - instance.informedSince > applyBound)
        settled = now_ - applyBound;
    if (now_ - instance.toldSince > tellBound)
        settled = std::max(settled, now_ - tellBound);
    for (const auto& change : configurations_) {
        if (change.at <= settled && change.revision > revision)
            fail(instance, fmt::format("its configuration is {}, although {} was written {} ms ago", revision, change.revision, std::chrono::duration_cast<std::chrono::milliseconds>(now_ - change.at).count()));
    }
    checkServers(instance, settled);
}

void FleetWorld::checkServers(Instance& instance, TimePoint settled)
{
    std::set<std::string> usable;
    for (const auto& state : instance.knowledge->registry().usable())
        usable.insert("servers/" + state.server.id.value());
    const bool isStoreCalm = now_ - storeTroubledUntil_ > leaseLength + returnBound;
    for (const auto& [key, server] : servers_) {
        const bool isUsable = usable.contains(key);
        if (isUsable && server.leavingSince && *server.leavingSince <= settled)
            fail(instance, fmt::format("{} is used, although it has been leaving for {} ms", key, std::chrono::duration_cast<std::chrono::milliseconds>(now_ - *server.leavingSince).count()));
        const bool wasGone = server.crashedAt && *server.crashedAt + leaseLength + returnBound <= settled;
        if (isUsable && wasGone && isStoreCalm && now_ - instance.informedSince > applyBound + returnBound)
            fail(instance, key + " is used, although its lease has expired");
        if (isUsable)
            instance.seen.insert(key);
        // An instance that was frozen sees entries that were registered again only after its watches have caught up.
        const bool hasCaughtUp = now_ - instance.frozenUntil > longestLag + step;
        const bool doesServe = !server.leavingSince && !server.crashedAt && hasCaughtUp;
        if (doesServe && !isUsable && instance.seen.contains(key))
            fail(instance, key + " is not used, although it is serving");
    }
}

void FleetWorld::fail(const Instance& instance, const std::string& problem)
{
    const auto age = [this](TimePoint time) { return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - time).count(); };
    const auto state = fmt::format("follows the store for {} ms, peers for {} ms, positions {}, store at {}", age(instance.informedSince), age(instance.toldSince),
        fmt::join(instance.knowledge->positions(), "/"), store_.revision());
    if (violation_.empty())
        violation_ = fmt::format("at {} ms, {} ({}): {}", std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() - 1h).count(), instance.member.id, state, problem);
}

} // namespace Ibisturn::Model
