#include <LibDecision/Placement/PlacementTable.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Weights of the newest sample in what is measured of all engines and of one.
constexpr double rateGain = 0.02;
constexpr double slownessGain = 0.2;
constexpr double leastSlowness = 0.5;
constexpr double mostSlowness = 8;
/// Prompts that are shorter say little of the time that a token costs.
constexpr std::int64_t leastMeasuredTokens = 3000;
constexpr double leastMillisecondsPerToken = 0.001;
constexpr double mostMillisecondsPerToken = 0.5;
/// The share of the last shared part that is taken as kept where its session belongs.
constexpr double homeConfidence = 0.7;
/// What a plain service's request takes, before any is measured.
constexpr Duration plainWork = std::chrono::milliseconds(20);
/// What memory that is promised beyond its share adds to the wait.
constexpr Duration memoryPenalty = std::chrono::milliseconds(500);
constexpr Duration leastRetryAfter = std::chrono::milliseconds(100);
constexpr std::uint32_t urgentPriority = 0;

Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

template <typename Load>
void add(Load& sum, const Load& load)
{
    sum.urgent += load.urgent;
    sum.all += load.all;
    sum.held += load.held;
    sum.requests += load.requests;
}

} // namespace

PlacementTable::PlacementTable(RegionId here, PlacementLimits limits)
    : here_(std::move(here))
    , limits_(limits)
    , millisecondsPerToken_(limits.millisecondsPerToken)
{
}

void PlacementTable::setServers(const std::vector<BackendState>& servers, const Snapshot& snapshot)
{
    byService_.clear();
    places_.clear();
    for (auto& [id, region] : regions_)
        region.servers.clear();
    std::set<BackendServerId> present;
    for (const auto& state : servers) {
        const auto* service = snapshot.findService(state.server.service);
        if (!service)
            continue;
        places_[service->id].push_back({ state.server.id, state.server.region });
        auto& region = regions_[state.server.region];
        ++region.servers[service->id];
        if (state.server.region != here_) {
            if (service->engine)
                region.cache.setCapacity(TokenCount(static_cast<std::int64_t>(static_cast<double>(service->engine->memory.count()) * limits_.cacheShare)
                    * region.servers[service->id]));
            continue;
        }
        present.insert(state.server.id);
        auto& server = servers_[state.server.id];
        if (server.state.server.started != state.server.started || server.state.server.endpoint != state.server.endpoint) {
            server = Server();
            std::erase_if(placed_, [&state](const auto& entry) { return entry.second.server == state.server.id; });
        }
        server.state = state;
        server.engine = service->engine;
        server.coldRate = service->coldRate;
        server.mostConnections = service->maxConnections;
        if (server.engine)
            server.cache.setCapacity(TokenCount(static_cast<std::int64_t>(static_cast<double>(server.engine->memory.count()) * limits_.cacheShare)));
        byService_[service->id].push_back(state.server.id);
    }
    std::erase_if(servers_, [&present](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(placed_, [&present](const auto& entry) { return !present.contains(entry.second.server); });
}

void PlacementTable::setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion)
{
    self_ = self;
    instances_ = inRegion;
    for (auto& [id, server] : servers_)
        std::erase_if(server.peers, [&inRegion](const auto& entry) { return std::find(inRegion.begin(), inRegion.end(), entry.first) == inRegion.end(); });
}

void PlacementTable::onPeerLoad(TimePoint now, const InstanceId& from, const std::vector<OwnLoad>& loads)
{
    for (auto& [id, server] : servers_)
        server.peers.erase(from);
    for (const auto& load : loads) {
        const auto found = servers_.find(load.server);
        if (found != servers_.end())
            found->second.peers[from] = { now, { load.urgentBacklog, load.backlog, load.held, load.requests } };
    }
}

void PlacementTable::onOutlook(TimePoint now, const RegionId& region, const std::vector<RegionOutlook>& outlooks)
{
    auto& state = regions_[region];
    for (const auto& outlook : outlooks)
        state.outlooks[outlook.service] = { now, outlook };
}

PlacementDecision PlacementTable::place(TimePoint now, const PlacementAsk& ask)
{
    const auto* home = sessionHome(ask);
    auto here = bestHere(now, ask, home);
    if (!here && ask.mayRepeat) {
        auto repeated = ask;
        repeated.failedServers.clear();
        here = bestHere(now, repeated, home);
    }
    const auto elsewhere = ask.mayLeaveRegion ? bestElsewhere(now, ask, home) : std::nullopt;
    if (!here && !elsewhere)
        return refuse(ask, ResultCode::NoBackendServer, Duration::zero());
    const bool isHere = here && (!elsewhere || here->cost <= elsewhere->cost + limits_.regionMargin);
    const auto& best = isHere ? *here : *elsewhere;
    const auto timeToTarget = ask.target - now;
    const auto timeLeft = ask.deadline - now;
    const auto late = timeToTarget + milliseconds(inMilliseconds(timeToTarget) * limits_.lateness);
    const auto longest = ask.wasPlaced ? timeLeft : std::min(std::max(late, Duration::zero()), timeLeft);
    if (best.wait > longest && best.wait > limits_.firstToken * 3)
        return refuse(ask, ResultCode::DeadlineUnreachable, best.wait - timeToTarget, best.wait);
    if (isHere) {
        if (best.server->coldRate > 0 && now < best.server->state.coldUntil)
            best.server->nextCold = now + milliseconds(1000 / best.server->coldRate);
        return PlaceOnServer { best.server->state.server.id, best.wait };
    }
    return PlaceInRegion { *best.region, best.wait };
}

PlacementId PlacementTable::begin(TimePoint now, const BackendServerId& id, const PlacementAsk& ask)
{
    const PlacementId placement(++lastPlaced_);
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return placement;
    auto& server = found->second;
    const auto tokens = toRead(server, ask, sessionHome(ask));
    Placed placed { id, {}, false, now, waitOn(now, server, ask, tokens), tokens };
    placed.load = { ask.priority <= urgentPriority ? placed.toRead : TokenCount(0), placed.toRead, ask.promptTokens + ask.mostAnswerTokens, 1 };
    add(server.own, placed.load);
    server.cache.note(ask.prompt);
    placed_.emplace(placement.count(), placed);
    return placement;
}

void PlacementTable::noteSent(const RegionId& region, const PlacementAsk& ask)
{
    regions_[region].cache.note(ask.prompt);
}

void PlacementTable::onFirstPart(TimePoint now, PlacementId id)
{
    const auto found = placed_.find(id.count());
    if (found == placed_.end() || found->second.hasStarted)
        return;
    auto& placed = found->second;
    placed.hasStarted = true;
    auto& server = servers_.at(placed.server);
    server.own.urgent -= placed.load.urgent;
    server.own.all -= placed.load.all;
    placed.load.urgent = TokenCount(0);
    placed.load.all = TokenCount(0);
    const auto seen = inMilliseconds(now - placed.sentAt);
    const auto expected = std::max(1.0, inMilliseconds(placed.expected));
    const auto ratio = std::clamp(seen / expected * server.slowness, leastSlowness, mostSlowness);
    server.slowness += (ratio - server.slowness) * slownessGain;
    if (!server.engine || placed.toRead.count() < leastMeasuredTokens)
        return;
    const auto reading = std::max(0.0, seen - inMilliseconds(limits_.firstToken));
    const auto ahead = std::max(1.0, (expected / server.slowness - inMilliseconds(limits_.firstToken)) / millisecondsPerToken_);
    const auto perToken = std::clamp(reading / ahead, leastMillisecondsPerToken, mostMillisecondsPerToken);
    millisecondsPerToken_ += (perToken - millisecondsPerToken_) * rateGain;
}

void PlacementTable::onServerLoad(TimePoint /*now*/, const BackendServerId& id, const ServerLoad& load)
{
    const auto found = servers_.find(id);
    if (found != servers_.end() && load.slots > 0)
        found->second.state.server.slots = load.slots;
}

void PlacementTable::end(TimePoint now, PlacementId id, PlacementOutcome outcome)
{
    const auto found = placed_.find(id.count());
    if (found == placed_.end())
        return;
    const auto placed = found->second;
    placed_.erase(found);
    auto& server = servers_.at(placed.server);
    server.own.urgent -= placed.load.urgent;
    server.own.all -= placed.load.all;
    server.own.held -= placed.load.held;
    server.own.requests -= placed.load.requests;
    if (outcome == PlacementOutcome::Answered)
        server.failures = 0;
    if (outcome == PlacementOutcome::Full)
        server.pausedUntil = std::max(server.pausedUntil, now + limits_.fullPause);
    if (outcome == PlacementOutcome::Replaced)
        server.pausedUntil = std::max(server.pausedUntil, now + limits_.replacedPause);
    const bool isFailure = outcome == PlacementOutcome::Failed || outcome == PlacementOutcome::Unreachable;
    if (!isFailure || now < server.pausedUntil)
        return;
    ++server.failures;
    const auto bearable = outcome == PlacementOutcome::Unreachable ? 1 : limits_.failuresToPause;
    if (server.failures < bearable)
        return;
    constexpr std::uint32_t mostDoublings = 8;
    const auto pause = limits_.firstPause * (1U << std::min(server.failures - bearable, mostDoublings));
    server.pausedUntil = now + std::min<Duration>(pause, limits_.longestPause);
}

const BackendState* PlacementTable::findServer(const BackendServerId& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.state;
}

std::vector<OwnLoad> PlacementTable::ownLoads() const
{
    std::vector<OwnLoad> loads;
    for (const auto& [id, server] : servers_) {
        if (server.own.requests > 0)
            loads.push_back({ id, server.own.requests, server.own.urgent, server.own.all, server.own.held });
    }
    return loads;
}

std::vector<RegionOutlook> PlacementTable::outlooks(TimePoint now) const
{
    std::vector<RegionOutlook> outlooks;
    for (const auto& [service, ids] : byService_) {
        std::optional<RegionOutlook> best;
        for (const auto priority : { urgentPriority, urgentPriority + 1 }) {
            PlacementAsk ask;
            ask.service = service;
            ask.priority = priority;
            std::optional<Duration> least;
            for (const auto& id : ids) {
                const auto& server = servers_.at(id);
                if (now < server.pausedUntil || now < server.state.coldUntil)
                    continue;
                const auto wait = waitOn(now, server, ask, TokenCount(0));
                least = least ? std::min(*least, wait) : wait;
            }
            if (!least)
                continue;
            if (!best)
                best = RegionOutlook { service, *least, *least, millisecondsPerToken_ };
            best->wait = *least;
        }
        if (best)
            outlooks.push_back(*best);
    }
    return outlooks;
}

std::uint32_t PlacementTable::mostConnections(const BackendServerId& id) const
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.mostConnections == 0)
        return 0;
    const auto sharers = std::max<std::size_t>(1, instances_.size());
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(found->second.mostConnections * limits_.connectionShare / static_cast<double>(sharers)));
}

bool PlacementTable::mayRunIn(const PlacementAsk& ask, const RegionId& region) const
{
    return !ask.homes || std::find(ask.homes->begin(), ask.homes->end(), region) != ask.homes->end();
}

bool PlacementTable::mayUse(TimePoint now, const Server& server, const PlacementAsk& ask) const
{
    if (now < server.pausedUntil || ask.failedServers.contains(server.state.server.id))
        return false;
    if (now >= server.state.coldUntil || server.coldRate <= 0)
        return true;
    return isColdOwner(server) && now >= server.nextCold;
}

// A cold backend server bears a few requests a second from all instances together, so one of them owns it.
bool PlacementTable::isColdOwner(const Server& server) const
{
    const auto& id = server.state.server.id.value();
    const auto own = rendezvousScore(id, self_.value());
    return std::none_of(instances_.begin(), instances_.end(), [&](const InstanceId& other) {
        return other != self_ && rendezvousScore(id, other.value()) > own;
    });
}

PlacementTable::Backlog PlacementTable::totalOn(TimePoint now, const Server& server) const
{
    Backlog total = server.own;
    for (const auto& [id, peer] : server.peers) {
        if (now - peer.at <= limits_.reportLifetime)
            add(total, peer.load);
    }
    return total;
}

TokenCount PlacementTable::toRead(const PromptCacheGuess& cache, bool isHome, const PlacementAsk& ask) const
{
    auto kept = cache.kept(ask.prompt);
    if (isHome) {
        // Other instances sent the session's earlier requests there.
        TokenCount shared;
        for (std::size_t index = 0; index + 1 < ask.prompt.size(); ++index)
            shared += ask.prompt[index].tokens;
        kept = std::max(kept, TokenCount(static_cast<std::int64_t>(static_cast<double>(shared.count()) * homeConfidence)));
    }
    return std::max(TokenCount(0), ask.promptTokens - kept);
}

TokenCount PlacementTable::toRead(const Server& server, const PlacementAsk& ask, const Place* home) const
{
    return toRead(server.cache, home && home->server == server.state.server.id, ask);
}

// The backend server that all instances agree on for a session, in whatever region.
const PlacementTable::Place* PlacementTable::sessionHome(const PlacementAsk& ask) const
{
    const auto places = places_.find(ask.service);
    if (places == places_.end() || ask.prompt.size() < 2)
        return nullptr;
    const auto subject = std::to_string(ask.prompt[ask.prompt.size() - 2].id);
    const Place* home = nullptr;
    std::uint64_t best = 0;
    for (const auto& place : places->second) {
        if (!mayRunIn(ask, place.region))
            continue;
        const auto score = rendezvousScore(subject, place.server.value());
        if (home && score <= best)
            continue;
        home = &place;
        best = score;
    }
    return home;
}

Duration PlacementTable::costOf(Duration wait, TokenCount toRead, double millisecondsPerToken) const
{
    return wait + milliseconds(static_cast<double>(toRead.count()) * millisecondsPerToken * limits_.readingWeight);
}

// How far the request that has waited longest is behind what was expected; nothing within the margin, and nothing for one
// request alone, which may be at fault itself.
Duration PlacementTable::overdueOn(TimePoint now, const Server& server) const
{
    if (server.own.requests < 2)
        return Duration::zero();
    const auto& id = server.state.server.id;
    Duration worst {};
    std::size_t count = 0;
    for (const auto& [number, placed] : placed_) {
        if (placed.hasStarted || placed.server != id)
            continue;
        const auto behind = now - placed.sentAt - placed.expected;
        if (behind <= limits_.overdue)
            continue;
        ++count;
        worst = std::max(worst, behind);
    }
    return count > 1 ? worst : Duration::zero();
}

Duration PlacementTable::waitOn(TimePoint now, const Server& server, const PlacementAsk& ask, TokenCount toRead) const
{
    const auto total = totalOn(now, server);
    if (!server.engine) {
        const auto slots = std::max<std::uint32_t>(1, server.state.server.slots);
        const auto overdue = overdueOn(now, server);
        return overdue + milliseconds(inMilliseconds(plainWork) * server.slowness * (1 + static_cast<double>(total.requests) / slots));
    }
    const auto ahead = ask.priority <= urgentPriority ? total.urgent : total.all;
    const auto tokens = static_cast<double>((ahead + toRead).count());
    auto wait = milliseconds((inMilliseconds(limits_.firstToken) + tokens * millisecondsPerToken_) * server.slowness);
    wait += overdueOn(now, server);
    const auto held = (total.held + ask.promptTokens + ask.mostAnswerTokens).count();
    if (static_cast<double>(held) > static_cast<double>(server.engine->memory.count()) * limits_.memoryShare || total.requests >= server.engine->slots)
        wait += memoryPenalty;
    return wait;
}

std::optional<PlacementTable::Candidate> PlacementTable::bestHere(TimePoint now, const PlacementAsk& ask, const Place* home)
{
    const auto ids = byService_.find(ask.service);
    if (ids == byService_.end() || !mayRunIn(ask, here_))
        return std::nullopt;
    std::optional<Candidate> best;
    for (const auto& id : ids->second) {
        auto& server = servers_.at(id);
        if (!mayUse(now, server, ask))
            continue;
        const auto tokens = toRead(server, ask, home);
        const auto wait = waitOn(now, server, ask, tokens);
        const auto cost = costOf(wait, tokens, millisecondsPerToken_);
        if (!best || cost < best->cost)
            best = Candidate { &server, nullptr, wait, cost };
    }
    return best;
}

std::optional<PlacementTable::Candidate> PlacementTable::bestElsewhere(TimePoint now, const PlacementAsk& ask, const Place* home)
{
    std::optional<Candidate> best;
    for (const auto& [id, region] : regions_) {
        const auto servers = region.servers.find(ask.service);
        if (id == here_ || servers == region.servers.end() || servers->second == 0 || !mayRunIn(ask, id) || ask.failedRegions.contains(id))
            continue;
        // A region that says nothing is the last choice.
        auto wait = limits_.regionRoundTrip * 3;
        const auto tokens = toRead(region.cache, home && home->region == id, ask);
        auto perToken = millisecondsPerToken_;
        const auto found = region.outlooks.find(ask.service);
        if (found != region.outlooks.end() && now - found->second.at <= limits_.reportLifetime) {
            const auto& outlook = found->second.outlook;
            perToken = outlook.millisecondsPerToken;
            const auto reading = milliseconds(static_cast<double>(tokens.count()) * perToken);
            wait = limits_.regionRoundTrip + reading + (ask.priority <= urgentPriority ? outlook.urgentWait : outlook.wait);
        }
        const auto cost = costOf(wait, tokens, perToken);
        if (!best || cost < best->cost)
            best = Candidate { nullptr, &id, wait, cost };
    }
    return best;
}

PlaceNowhere PlacementTable::refuse(const PlacementAsk& ask, ResultCode code, Duration wait, std::optional<Duration> expected) const
{
    // Spread over half as much again, so that callers don't come back together.
    const auto spread = 1 + 0.5 * static_cast<double>(ask.spread % 1024) / 1024;
    return { code, milliseconds(inMilliseconds(std::max(wait, leastRetryAfter)) * spread), expected };
}

} // namespace Ibisturn
