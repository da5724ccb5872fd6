#include <LibDecision/Placement/PlacementTable.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Weight of the newest sample in the average over all engines.
constexpr double rateGain = 0.02;
/// Weight of the newest sample in the average ratio over all backend servers of a service.
constexpr double serviceRatioGain = 0.05;
/// Shorter prompts give too noisy a measurement of the time per token.
constexpr std::int64_t minMeasuredTokens = 3000;
constexpr double minMillisecondsPerToken = 0.001;
constexpr double maxMillisecondsPerToken = 0.5;
/// The share of a session's earlier prompt parts that is assumed to be cached on the session's preferred backend server.
constexpr double preferredServerCachedShare = 0.7;
constexpr std::int64_t timeGainDivisor = 8;
constexpr std::int64_t risingTimeGainDivisor = 32;
/// Slower backend servers say nothing about the time of an idle one.
constexpr double maxSlownessOfIdleTime = 1.25;
/// Reports of more slots than this multiple of the registered ones are not credible.
constexpr std::uint32_t maxSlotsOverRegistered = 4;
/// Measured times stay within these multiples of the assumed one.
constexpr std::int64_t maxTimeFactor = 8;
/// Added to the wait if the engine's memory share would be exceeded or all its slots are taken.
constexpr Duration memoryPenalty = std::chrono::milliseconds(500);
constexpr std::uint32_t urgentPriority = 0;
constexpr Duration coldWindow = std::chrono::seconds(1);
/// How often the mean load and the speeds of the backend servers of a service are computed: as often as other instances report loads.
constexpr Duration affinityRefreshPeriod = std::chrono::milliseconds(100);
/// Below this share of its slots, and with less than this time of unread prompts, a backend server has no bound on its load.
constexpr double freeSlotShare = 0.5;
constexpr Duration freeReadingTime = std::chrono::milliseconds(250);
/// A request keeps to a holder of its session, or to a server that it drew, while the wait there is at most this part of the time to its
/// target. Forecasts are uncertain: with 1 in place of 2, 16 more of 9,049 long requests were late at nine tenths of the capacity.
constexpr std::int64_t goodTimeDivisor = 2;
/// How long a new process is cold if its service does not state it.
constexpr Duration assumedColdPeriod = std::chrono::seconds(4);
/// Restarts that nobody takes are not kept beyond this number.
constexpr std::size_t maxPendingRestarts = 256;
/// A backend server that is leaving has ended after this time.
constexpr Duration leavingServerLifetime = std::chrono::minutes(10);

Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// How many requests a cold backend server gets in any second. Whole requests count, so the rate is rounded down.
std::size_t coldRequestsPerSecond(double rate)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(rate)));
}

/// The pause between two requests to a cold backend server.
Duration coldSpacing(double rate)
{
    return milliseconds(inMilliseconds(coldWindow) / std::min(rate, static_cast<double>(coldRequestsPerSecond(rate))));
}

/// Removes the times at or before `limit`. Precondition: `times` is sorted.
void dropUntil(std::deque<TimePoint>& times, TimePoint limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

template <typename Load>
void add(Load& sum, const Load& load)
{
    sum.urgentBacklog += load.urgentBacklog;
    sum.backlog += load.backlog;
    sum.reservedTokens += load.reservedTokens;
    sum.requests += load.requests;
}

} // namespace

PlacementTable::PlacementTable(RegionId ownRegion, PlacementLimits limits)
    : ownRegion_(std::move(ownRegion))
    , limits_(limits)
{
}

void PlacementTable::setServers(const std::vector<BackendState>& servers, const Snapshot& snapshot)
{
    byService_.clear();
    serverLocations_.clear();
    for (auto& [id, region] : regions_) {
        region.servers.clear();
        region.versions.clear();
    }
    std::set<BackendServerId> present;
    for (const auto& state : servers) {
        const auto* service = snapshot.findService(state.server.service);
        if (!service)
            continue;
        serverLocations_[service->id].push_back({ state.server.id, state.server.region });
        auto& region = regions_[state.server.region];
        ++region.servers[service->id];
        region.versions[service->id].insert(state.server.version);
        if (state.server.region != ownRegion_) {
            if (service->engine)
                region.cache.setCapacity(TokenCount(static_cast<std::int64_t>(static_cast<double>(service->engine->memory.count()) * limits_.cacheShare)
                    * region.servers[service->id]));
            continue;
        }
        present.insert(state.server.id);
        auto& server = servers_[state.server.id];
        const auto& known = server.state.server;
        if (known.started != state.server.started || known.endpoint != state.server.endpoint || known.version != state.server.version) {
            auto coldSends = std::move(server.coldSends);
            const bool isRestarted = !server.state.server.id.isEmpty();
            if (isRestarted && restarts_.size() < maxPendingRestarts)
                restarts_.push_back({ { state.server.id, server.state.server.started, state.server.started }, std::move(server.recentSends), server.restart });
            server = Server();
            server.coldSends = std::move(coldSends);
            if (isRestarted)
                server.assumedCache.onRestart();
            std::erase_if(placedRequests_, [&state](const auto& entry) { return entry.second.server == state.server.id; });
        }
        server.state = state;
        server.assumedCache.setColdUntil(coldUntil(server));
        const auto leaving = leavingServers_.find(state.server.id);
        server.isLeaving = leaving != leavingServers_.end() && leaving->second.started == state.server.started && leaving->second.version == state.server.version;
        server.engine = service->engine;
        server.coldRate = service->coldRate;
        server.coldPeriod = service->coldPeriod > Duration::zero() ? service->coldPeriod : assumedColdPeriod;
        server.registeredSlots = state.server.slots;
        server.maxConnections = service->maxConnections;
        if (server.engine)
            server.cache.setCapacity(TokenCount(static_cast<std::int64_t>(static_cast<double>(server.engine->memory.count()) * limits_.cacheShare)));
        byService_[service->id].push_back(state.server.id);
    }
    std::erase_if(affinities_, [this](const auto& entry) { return !byService_.contains(entry.first); });
    for (const auto& [id, ids] : byService_)
        affinities_[id].sessions.setServers(ids);
    for (auto& [id, locations] : serverLocations_)
        std::stable_partition(locations.begin(), locations.end(), [this](const ServerLocation& location) { return location.region == ownRegion_; });
    std::erase_if(servers_, [&present](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(placedRequests_, [&present](const auto& entry) { return !present.contains(entry.second.server); });
}

void PlacementTable::setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion)
{
    self_ = self;
    instances_ = inRegion;
}

void PlacementTable::setOtherLoads(TimePoint receivedAt, const std::vector<InstanceLoad>& loads)
{
    otherLoadsReceivedAt_ = receivedAt;
    for (auto& [id, server] : servers_)
        server.otherLoad = {};
    for (const auto& load : loads) {
        const auto found = servers_.find(load.server);
        if (found != servers_.end())
            found->second.otherLoad = { load.urgentBacklog, load.backlog, load.reservedTokens, load.requests };
    }
}

void PlacementTable::onWaitEstimates(TimePoint now, const RegionId& region, const std::vector<RegionWaitEstimate>& waitEstimates)
{
    auto& state = regions_[region];
    for (const auto& estimate : waitEstimates)
        state.waitEstimates[estimate.service] = { now, estimate };
}

PlacementDecision PlacementTable::place(TimePoint now, const PlacementQuery& query)
{
    if (isVersionGone(query))
        return RefusePlacement { ResultCode::StreamVersionGone };
    const auto* preferred = preferredServer(query);
    auto local = bestLocalServer(now, query, preferred);
    if (!local && query.canRetryFailedServers) {
        auto retryQuery = query;
        retryQuery.failedServers.clear();
        local = bestLocalServer(now, retryQuery, preferred);
    }
    const auto remote = query.canLeaveRegion ? bestRemoteRegion(now, query, preferred) : std::nullopt;
    if (!local && !remote)
        return refuse(now, query, ResultCode::NoBackendServer, shortestPause(now, query.service).value_or(Duration::zero()), query.promptTokens);
    const bool isLocal = local && (!remote || local->cost <= remote->cost + limits_.regionMargin);
    const auto& best = isLocal ? *local : *remote;
    const auto timeToTarget = query.target - now;
    const auto timeLeft = query.deadline - now;
    const auto maxWaitForTarget = timeToTarget + milliseconds(inMilliseconds(timeToTarget) * limits_.allowedLateness);
    const auto maxWait = query.wasPlaced ? timeLeft : std::min(std::max(maxWaitForTarget, Duration::zero()), timeLeft);
    const auto work = uncachedTokens(best, query, preferred);
    const bool isTooLate = best.wait > maxWait && best.wait > limits_.timeToFirstToken * 3;
    const auto trial = isTooLate ? findTrial(now, query, preferred, maxWait) : std::nullopt;
    if (isTooLate && !trial)
        return refuse(now, query, ResultCode::DeadlineUnreachable, best.wait - timeToTarget, work, best.wait);
    retries_.onAccepted(now, query.service, workOf(query.service, work));
    if (trial) {
        trial->server->rate.onTrial(now);
        PlaceOnServer place { trial->server->state.server.id, trial->wait, {}, true };
        place.version = trial->server->state.server.version;
        return place;
    }
    if (isLocal) {
        PlaceOnServer place { best.server->state.server.id, best.wait };
        place.version = best.server->state.server.version;
        if (!isCold(now, *best.server) && best.server->coldRate > 0 && best.server->restart.isSuspected(now))
            best.server->nextColdRequestAt = now + RestartSuspicion::spacing(best.server->coldRate, instances_.size());
        place.assumedTokens = assumedTokens(*best.server, query, preferred);
        if (const auto session = PromptAffinity::sessionOf(query.prompt))
            place.sessionRank = affinities_.at(query.service).sessions.rankOf(*session, place.server);
        if (isCold(now, *best.server)) {
            place.coldLeft = coldUntil(*best.server) - now;
            best.server->nextColdRequestAt = now + coldSpacing(best.server->coldRate);
        }
        return place;
    }
    return PlaceInRegion { *best.region, best.wait };
}

// A backend server that is only believed to be too slow: it has no requests, or would be quick enough at the average rates of its
// service. Without a trial, nothing would correct the belief while all requests are refused because of it.
std::optional<PlacementTable::Candidate> PlacementTable::findTrial(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred, Duration maxWait)
{
    const auto ids = byService_.find(query.service);
    if (ids == byService_.end() || !isAllowedIn(query, ownRegion_))
        return std::nullopt;
    std::optional<Candidate> best;
    for (const auto& id : ids->second) {
        auto& server = servers_.at(id);
        // One at a time: an earlier request that still waits for its answer is a trial, too.
        if (!server.rate.mayTry(now) || !server.awaitedFirstParts.empty() || isCold(now, server) || !isUsable(now, server, query))
            continue;
        const auto tokens = uncachedTokens(server, query, preferred);
        const auto base = baseTime(now, server, query, tokens);
        const bool isOnlyBelieved = totalLoad(now, server).requests == 0 || base <= maxWait;
        if (!isOnlyBelieved || query.deadline - now < base * 2)
            continue;
        if (!best || base < best->cost)
            best = Candidate { &server, nullptr, estimateWait(now, server, query, tokens), base };
    }
    return best;
}

PlacementId PlacementTable::begin(TimePoint now, const BackendServerId& id, const PlacementQuery& query)
{
    const PlacementId placement(++lastPlacementId_);
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return placement;
    auto& server = found->second;
    const auto tokens = uncachedTokens(server, query, preferredServer(query));
    const auto ahead = totalLoad(now, server);
    const bool isFirstInLine = ahead.backlog == TokenCount(0) && ahead.requests < std::max<std::uint32_t>(1, server.engine ? server.engine->slots : server.state.server.slots);
    PlacedRequest placed { id, {}, false, now, estimateWait(now, server, query, tokens), baseTime(now, server, query, tokens), tokens, isFirstInLine };
    placed.load = { query.priority <= urgentPriority ? placed.uncachedTokens : TokenCount(0), placed.uncachedTokens, query.promptTokens + query.maxAnswerTokens, 1 };
    placed.assumedTokens = assumedTokens(server, query, preferredServer(query));
    add(server.ownLoad, placed.load);
    affinities_[server.state.server.service].sessions.advance(now);
    affinities_[server.state.server.service].sessions.onSent(query.prompt);
    server.cache.record(query.prompt);
    server.awaitedFirstParts.emplace(placed.sentAt + placed.expected, placement.count());
    placedRequests_.emplace(placement.count(), placed);
    return placement;
}

bool PlacementTable::confirmSend(TimePoint now, const BackendServerId& id, const std::optional<ServerProcess>& process, const std::optional<SoftwareVersion>& version)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return false;
    auto& server = found->second;
    if (server.isLeaving || now < server.pausedUntil)
        return false;
    if (version && (server.state.server.version != *version || !isRegistered(server, process)))
        return false;
    if (process && server.coldRate > 0 && !acceptProcess(now, server, *process))
        return false;
    auto& sends = server.coldSends;
    dropUntil(sends, now - coldWindow);
    dropUntil(server.recentSends, now - coldWindow);
    if (!isCold(now, server)) {
        if (isHeldBack(now, server))
            return false;
        if (server.restart.isSuspected(now)) {
            server.restart.onSend(now);
            // Counts as well if the server turns out to be cold.
            sends.push_back(now);
        }
        server.recentSends.push_back(now);
        return true;
    }
    // Choices are spaced, but connections take different times, so that several requests may be ready at once.
    if (!holdsColdServer(now, id) || sends.size() >= coldRequestsPerSecond(server.coldRate))
        return false;
    sends.push_back(now);
    server.recentSends.push_back(now);
    return true;
}

bool PlacementTable::mustKnowProcess(const BackendServerId& id) const
{
    const auto found = servers_.find(id);
    return found != servers_.end() && found->second.coldRate > 0;
}

bool PlacementTable::isRegistered(const Server& server, const std::optional<ServerProcess>& process)
{
    // Servers without a cold rate need not say which process they are.
    const bool isUntold = !process || (!process->started && server.coldRate <= 0);
    return isUntold || process->started == server.state.server.started;
}

// A process that does not say which one it is may have just started, unless the connection to it is older than its cold period.
bool PlacementTable::acceptProcess(TimePoint now, Server& server, const ServerProcess& process)
{
    if (process.started)
        return acceptKnownProcess(now, server, *process.started, process.askedAt);
    if (now - process.askedAt < server.coldPeriod && !server.restart.isSuspected(now))
        server.restart.onConnectionLost(now);
    return true;
}

bool PlacementTable::acceptKnownProcess(TimePoint now, Server& server, StartTime started, TimePoint askedAt)
{
    if (started == server.state.server.started) {
        // The registered process has ended if another one has answered since.
        if (server.unregisteredProcess && askedAt <= server.unregisteredSince)
            return false;
        server.unregisteredProcess.reset();
        server.unregisteredColdUntil = {};
        server.assumedCache.setColdUntil(coldUntil(server));
        server.restart.onProcessConfirmed(askedAt);
        return true;
    }
    if (started == server.unregisteredProcess)
        return true;
    // A connection that was made before the registry named the present process leads to an earlier one.
    if (askedAt < server.state.registeredAt)
        return false;
    server.unregisteredProcess = started;
    server.unregisteredSince = askedAt;
    server.unregisteredColdUntil = now + server.coldPeriod;
    server.cache.clear();
    server.assumedCache.onRestart();
    server.assumedCache.setColdUntil(coldUntil(server));
    return true;
}

std::vector<ObservedRestart> PlacementTable::takeRestarts(TimePoint now)
{
    std::vector<ObservedRestart> observed;
    for (auto& pending : restarts_) {
        dropUntil(pending.sends, now - coldWindow);
        pending.restart.sentInLastSecond = pending.sends.size();
        pending.restart.wasSuspected = pending.suspicion.isSuspected(now);
        observed.push_back(std::move(pending.restart));
    }
    restarts_.clear();
    return observed;
}

std::vector<BackendServerId> PlacementTable::coldServers(TimePoint now) const
{
    std::vector<BackendServerId> cold;
    for (const auto& [id, server] : servers_) {
        if (isCold(now, server))
            cold.push_back(id);
    }
    return cold;
}

std::size_t PlacementTable::suspectedRestarts(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [now](const auto& entry) { return entry.second.coldRate > 0 && entry.second.restart.isSuspected(now); }));
}

void PlacementTable::recordForward(const RegionId& region, const PlacementQuery& query)
{
    regions_[region].cache.record(query.prompt);
}

void PlacementTable::onFirstPart(TimePoint now, PlacementId id)
{
    const auto found = placedRequests_.find(id.count());
    if (found == placedRequests_.end() || found->second.hasStarted)
        return;
    auto& placed = found->second;
    auto& server = servers_.at(placed.server);
    stopAwaiting(server, id.count(), placed);
    placed.hasStarted = true;
    server.ownLoad.urgentBacklog -= placed.load.urgentBacklog;
    server.ownLoad.backlog -= placed.load.backlog;
    placed.load.urgentBacklog = TokenCount(0);
    placed.load.backlog = TokenCount(0);
    server.restart.onAnswerPart(now, placed.sentAt, server.coldPeriod);
    const auto assumedTime = milliseconds(static_cast<double>(placed.assumedTokens.count()) * millisecondsPerToken(now, server.state.server.service) * server.rate.factor(now));
    server.assumedCache.onAnswer(now, now - placed.sentAt - placed.expected, assumedTime);
    const auto measured = inMilliseconds(now - placed.sentAt);
    const auto base = std::max(1.0, inMilliseconds(placed.base));
    const auto slownessBefore = std::max(1.0, server.rate.slowness(now));
    const auto pace = server.rate.pace(now);
    recordRatio(now, server, measured / base);
    const auto& service = server.state.server.service;
    const auto perToken = millisecondsPerToken(now, service);
    const auto idle = inMilliseconds(idleTime(now, server));
    const bool isPrefillNegligible = !server.engine || static_cast<double>(placed.uncachedTokens.count()) * perToken < idle;
    if (placed.isFirstInLine && isPrefillNegligible && slownessBefore <= maxSlownessOfIdleTime) {
        const auto prefillTime = server.engine ? static_cast<double>(placed.uncachedTokens.count()) * perToken : 0;
        measureIdleTime(now, server, milliseconds((measured - prefillTime) / pace));
    }
    if (!server.engine || placed.uncachedTokens.count() < minMeasuredTokens)
        return;
    // What is known of this backend server is taken out, so that a slowdown does not become the rate of the whole service.
    const auto prefillTime = std::max(0.0, measured / (slownessBefore * pace * server.rate.lastingFactor(now)) - idle);
    const auto tokensAhead = std::max(1.0, (base - idle) / perToken);
    const auto sample = std::clamp(prefillTime / tokensAhead, minMillisecondsPerToken, maxMillisecondsPerToken);
    millisecondsPerToken_[service] = { perToken + (sample - perToken) * rateGain, now };
}

void PlacementTable::recordRatio(TimePoint now, Server& server, double ratio)
{
    const auto& service = server.state.server.service;
    const auto average = serviceRatio(now, service);
    server.rate.onSample(now, ratio, average);
    const auto limited = std::clamp(ratio / server.rate.pace(now), ServerRate::minFactor, ServerRate::maxFactor);
    serviceRatios_[service] = { average + (limited - average) * serviceRatioGain, now };
}

// The average ages like the lasting factors that it keeps at 1 on average.
double PlacementTable::serviceRatio(TimePoint now, const ServiceId& service) const
{
    const auto found = serviceRatios_.find(service);
    const bool isCurrent = found != serviceRatios_.end() && now - found->second.measuredAt <= ServerRate::lastingHalfLife;
    return isCurrent ? found->second.value : 1;
}

void PlacementTable::onRoundTrip(TimePoint now, const RegionId& region, Duration roundTrip)
{
    if (region != ownRegion_)
        measure(regions_[region].roundTrip, now, roundTrip, limits_.regionRoundTrip);
}

void PlacementTable::onServerLoad(TimePoint now, const BackendServerId& id, const ServerLoad& load)
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || load.slots == 0)
        return;
    auto& server = found->second;
    // A wrong number of slots would make the server look free for good.
    server.state.server.slots = server.registeredSlots == 0 ? load.slots : std::min(load.slots, server.registeredSlots * maxSlotsOverRegistered);
    server.rate.onPace(now, load.pacePercent);
    server.reportedRequests = load.running + load.waiting;
    server.ownRequestsAtReport = server.ownLoad.requests;
    server.reportedAt = now;
}

bool PlacementTable::onServerLeaving(TimePoint now, const BackendServerId& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.isLeaving)
        return false;
    found->second.isLeaving = true;
    std::erase_if(leavingServers_, [now](const auto& entry) { return now - entry.second.announcedAt > leavingServerLifetime; });
    leavingServers_[id] = { found->second.state.server.started, found->second.state.server.version, now };
    return true;
}

void PlacementTable::onConnectionLost(TimePoint now, const Endpoint& endpoint)
{
    for (auto& [id, server] : servers_) {
        if (server.state.server.endpoint == endpoint && !server.isLeaving)
            server.restart.onConnectionLost(now);
    }
}

void PlacementTable::onRetryAfter(TimePoint now, const BackendServerId& id, Duration pause)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, now + pause);
}

void PlacementTable::end(TimePoint now, PlacementId id, PlacementOutcome outcome)
{
    const auto found = placedRequests_.find(id.count());
    if (found == placedRequests_.end())
        return;
    const auto placed = found->second;
    placedRequests_.erase(found);
    auto& server = servers_.at(placed.server);
    stopAwaiting(server, id.count(), placed);
    server.ownLoad.urgentBacklog -= placed.load.urgentBacklog;
    server.ownLoad.backlog -= placed.load.backlog;
    server.ownLoad.reservedTokens -= placed.load.reservedTokens;
    server.ownLoad.requests -= placed.load.requests;
    if (outcome == PlacementOutcome::Answered)
        server.failures = 0;
    if (outcome == PlacementOutcome::Lost || outcome == PlacementOutcome::Unreachable)
        server.restart.onConnectionLost(now);
    // A request that was under way already says nothing about the answers to those that followed.
    if (outcome == PlacementOutcome::Answered && placed.sentAt >= server.lastSpoiledAt)
        server.spoiledAnswers = 0;
    if (outcome == PlacementOutcome::Full)
        server.backoffUntil = std::max(server.backoffUntil, now + limits_.fullBackoff);
    if (outcome == PlacementOutcome::Replaced)
        server.backoffUntil = std::max(server.backoffUntil, now + limits_.replacedBackoff);
    const bool isSpoiled = outcome == PlacementOutcome::Spoiled;
    if (isSpoiled)
        server.lastSpoiledAt = now;
    const bool isFailure = isSpoiled || outcome == PlacementOutcome::Failed || outcome == PlacementOutcome::Lost || outcome == PlacementOutcome::Unreachable;
    if (!isFailure || now < server.backoffUntil)
        return;
    ++server.failures;
    if (isSpoiled)
        ++server.spoiledAnswers;
    const auto failures = isSpoiled ? std::max(server.failures, server.spoiledAnswers) : server.failures;
    const auto threshold = outcome == PlacementOutcome::Unreachable ? 1 : limits_.failuresBeforeBackoff;
    if (failures < threshold)
        return;
    constexpr std::uint32_t maxDoublings = 8;
    const auto backoff = limits_.initialBackoff * (1U << std::min(failures - threshold, maxDoublings));
    server.backoffUntil = now + std::min<Duration>(backoff, limits_.maxBackoff);
}

const BackendState* PlacementTable::findServer(const BackendServerId& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.state;
}

std::optional<SoftwareVersion> PlacementTable::versionOf(const BackendServerId& id) const
{
    const auto* state = findServer(id);
    return state ? std::optional(state->server.version) : std::nullopt;
}

std::set<Endpoint> PlacementTable::endpoints() const
{
    std::set<Endpoint> endpoints;
    for (const auto& [id, server] : servers_)
        endpoints.insert(server.state.server.endpoint);
    return endpoints;
}

std::vector<InstanceLoad> PlacementTable::ownLoads() const
{
    std::vector<InstanceLoad> loads;
    for (const auto& [id, server] : servers_) {
        if (server.ownLoad.requests > 0)
            loads.push_back({ id, server.ownLoad.requests, server.ownLoad.urgentBacklog, server.ownLoad.backlog, server.ownLoad.reservedTokens });
    }
    return loads;
}

std::vector<RegionWaitEstimate> PlacementTable::waitEstimates(TimePoint now) const
{
    std::vector<RegionWaitEstimate> waitEstimates;
    for (const auto& [service, ids] : byService_) {
        std::optional<RegionWaitEstimate> best;
        for (const auto priority : { urgentPriority, urgentPriority + 1 }) {
            PlacementQuery query;
            query.service = service;
            query.priority = priority;
            std::optional<Duration> minWait;
            for (const auto& id : ids) {
                const auto& server = servers_.at(id);
                if (server.isLeaving || now < server.pausedUntil || now < server.backoffUntil || now < coldUntil(server))
                    continue;
                const auto wait = estimateWait(now, server, query, TokenCount(0));
                minWait = minWait ? std::min(*minWait, wait) : wait;
            }
            if (!minWait)
                continue;
            if (!best)
                best = RegionWaitEstimate { service, *minWait, *minWait, millisecondsPerToken(now, service) };
            best->wait = *minWait;
        }
        if (best)
            waitEstimates.push_back(*best);
    }
    return waitEstimates;
}

std::uint32_t PlacementTable::maxConnections(const BackendServerId& id) const
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.maxConnections == 0)
        return 0;
    const auto instanceCount = std::max<std::size_t>(1, instances_.size());
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(found->second.maxConnections * limits_.connectionShare / static_cast<double>(instanceCount)));
}

bool PlacementTable::isAllowedIn(const PlacementQuery& query, const RegionId& region) const
{
    return permitsRegion(query.homeRegions, region);
}

bool PlacementTable::permitsVersion(const PlacementQuery& query, const SoftwareVersion& version) const
{
    if (query.version && *query.version != version)
        return false;
    if (!query.beginsStream)
        return true;
    const auto listed = listedVersions_.find(query.service);
    return listed != listedVersions_.end() && listed->second.contains(version);
}

bool PlacementTable::hasPermittedVersion(const PlacementQuery& query, const RegionState& region) const
{
    const auto versions = region.versions.find(query.service);
    return versions != region.versions.end() && std::any_of(versions->second.begin(), versions->second.end(), [&](const SoftwareVersion& version) { return permitsVersion(query, version); });
}

bool PlacementTable::isVersionGone(const PlacementQuery& query) const
{
    if (!query.version)
        return false;
    return std::none_of(regions_.begin(), regions_.end(), [&](const auto& entry) {
        const auto versions = entry.second.versions.find(query.service);
        return versions != entry.second.versions.end() && versions->second.contains(*query.version) && isAllowedIn(query, entry.first);
    });
}

bool PlacementTable::isUsable(TimePoint now, const Server& server, const PlacementQuery& query) const
{
    if (server.isLeaving || now < server.pausedUntil || now < server.backoffUntil || query.failedServers.contains(server.state.server.id))
        return false;
    if (!permitsVersion(query, server.state.server.version))
        return false;
    if (!isCold(now, server) && server.restart.isSuspected(now) && (isHeldBack(now, server) || now < server.nextColdRequestAt))
        return false;
    return !isCold(now, server) || (holdsColdServer(now, server.state.server.id) && now >= server.nextColdRequestAt);
}

TimePoint PlacementTable::coldUntil(const Server& server)
{
    return std::max(server.state.coldUntil, server.unregisteredColdUntil);
}

bool PlacementTable::isCold(TimePoint now, const Server& server)
{
    return server.coldRate > 0 && now < coldUntil(server);
}

bool PlacementTable::isHeldBack(TimePoint now, const Server& server) const
{
    return server.coldRate > 0 && server.restart.isSuspected(now) && !server.restart.maySend(now, server.coldRate, ownRank(), instances_.size());
}

std::size_t PlacementTable::ownRank() const
{
    const auto found = std::find(instances_.begin(), instances_.end(), self_);
    return found == instances_.end() ? 0 : static_cast<std::size_t>(found - instances_.begin());
}

bool PlacementTable::holdsColdServer(TimePoint now, const BackendServerId& id) const
{
    const auto held = coldServersHeldUntil_.find(id);
    return held != coldServersHeldUntil_.end() && now < held->second;
}

PlacementTable::Load PlacementTable::totalLoad(TimePoint now, const Server& server) const
{
    Load total = server.ownLoad;
    if (now - otherLoadsReceivedAt_ <= limits_.reportLifetime)
        add(total, server.otherLoad);
    if (now - server.reportedAt > limits_.serverLoadLifetime)
        return total;
    // The server's own report lacks what was sent since.
    const auto sentSince = server.ownLoad.requests - std::min(server.ownLoad.requests, server.ownRequestsAtReport);
    total.requests = std::max(total.requests, server.reportedRequests + sentSince);
    return total;
}

void PlacementTable::measure(MeasuredTime& time, TimePoint now, Duration sample, Duration initial) const
{
    const auto limited = std::clamp(sample, initial / maxTimeFactor, initial * maxTimeFactor);
    const auto before = measuredOr(time, now, initial);
    time = { before + (limited - before) / timeGainDivisor, now };
}

Duration PlacementTable::measuredOr(const MeasuredTime& time, TimePoint now, Duration initial) const
{
    return time.measuredAt != TimePoint {} && now - time.measuredAt <= limits_.measurementLifetime ? time.value : initial;
}

// Rises slowly and falls quickly: a slowdown of all servers must not become the time of an idle one.
void PlacementTable::measureIdleTime(TimePoint now, const Server& server, Duration sample)
{
    auto& time = idleTimes_[server.state.server.service];
    const auto initial = server.engine ? limits_.timeToFirstToken : limits_.plainServiceTime;
    const auto before = idleTime(now, server);
    const auto limited = std::clamp(sample, initial / maxTimeFactor, std::min(initial * maxTimeFactor, before * 2));
    time = { before + (limited - before) / (limited > before ? risingTimeGainDivisor : timeGainDivisor), now };
}

double PlacementTable::millisecondsPerToken(TimePoint now, const ServiceId& service) const
{
    const auto found = millisecondsPerToken_.find(service);
    const bool isCurrent = found != millisecondsPerToken_.end() && now - found->second.measuredAt <= limits_.measurementLifetime;
    return isCurrent ? found->second.value : limits_.millisecondsPerToken;
}

Duration PlacementTable::idleTime(TimePoint now, const Server& server) const
{
    const auto initial = server.engine ? limits_.timeToFirstToken : limits_.plainServiceTime;
    const auto found = idleTimes_.find(server.state.server.service);
    return found == idleTimes_.end() ? initial : measuredOr(found->second, now, initial);
}

TokenCount PlacementTable::uncachedTokens(const PromptCacheEstimate& cache, bool isPreferred, const PlacementQuery& query) const
{
    auto cached = cache.cachedTokens(query.prompt);
    if (isPreferred) {
        // Other instances sent the earlier requests of the session there, which this instance's cache estimate doesn't contain.
        TokenCount shared;
        for (std::size_t index = 0; index + 1 < query.prompt.size(); ++index)
            shared += query.prompt[index].tokens;
        cached = std::max(cached, TokenCount(static_cast<std::int64_t>(static_cast<double>(shared.count()) * preferredServerCachedShare)));
    }
    return std::max(TokenCount(0), query.promptTokens - cached);
}

TokenCount PlacementTable::uncachedTokens(const Server& server, const PlacementQuery& query, const ServerLocation* preferred) const
{
    return std::max(TokenCount(0), uncachedTokens(server.cache, false, query) - assumedTokens(server, query, preferred));
}

TokenCount PlacementTable::assumedTokens(const Server& server, const PlacementQuery& query, const ServerLocation* preferred) const
{
    const auto affinity = affinities_.find(server.state.server.service);
    if (!preferred || affinity == affinities_.end())
        return TokenCount(0);
    const auto& sessions = affinity->second.sessions;
    const auto share = [](TokenCount tokens, double part) { return TokenCount(static_cast<std::int64_t>(static_cast<double>(tokens.count()) * part)); };
    const bool isRankedByRegion = ranksByRegion(query);
    // A server that was not restarted and answers as forecast has all common parts.
    auto cached = isRankedByRegion ? share(sessions.commonTokens(query.prompt), server.assumedShare / AssumedCache::usualShare) : TokenCount(0);
    const auto session = PromptAffinity::sessionOf(query.prompt);
    const auto rank = session && isRankedByRegion ? sessions.rankOf(*session, server.state.server.id) : std::nullopt;
    const bool isHolder = isRankedByRegion ? rank && *rank < sessions.holderCount(*session) : preferred->server == server.state.server.id;
    if (isHolder) {
        TokenCount shared;
        for (std::size_t index = 0; index + 1 < query.prompt.size(); ++index)
            shared += query.prompt[index].tokens;
        cached = std::max(cached, share(shared, server.assumedShare));
    }
    return std::max(TokenCount(0), cached - server.cache.cachedTokens(query.prompt));
}

// The first backend server of this region for a session. If the request may not run in this region, the one that all instances prefer in
// the permitted regions: it names the region that has the session's parts.
const PlacementTable::ServerLocation* PlacementTable::preferredServer(const PlacementQuery& query) const
{
    const auto locations = serverLocations_.find(query.service);
    const auto session = PromptAffinity::sessionOf(query.prompt);
    if (locations == serverLocations_.end() || !session)
        return nullptr;
    const auto affinity = affinities_.find(query.service);
    if (affinity != affinities_.end() && isAllowedIn(query, ownRegion_) && ranksByRegion(query))
        return &locations->second[affinity->second.sessions.ranked(*session).front()];
    const auto sessionKey = std::to_string(*session);
    const ServerLocation* preferred = nullptr;
    std::uint64_t best = 0;
    for (const auto& location : locations->second) {
        if (!isAllowedIn(query, location.region))
            continue;
        const auto score = rendezvousScore(sessionKey, location.server.value());
        if (preferred && score <= best)
            continue;
        preferred = &location;
        best = score;
    }
    return preferred;
}

// Whether each region keeps the prompt parts of the request's session on its own backend servers. A region with few servers, or servers that
// can keep few sessions as large as this one, lacks the memory for the parts of all sessions, so these are spread over all regions instead.
bool PlacementTable::ranksByRegion(const PlacementQuery& query) const
{
    const auto ids = byService_.find(query.service);
    const auto* first = ids == byService_.end() || ids->second.empty() ? nullptr : &servers_.at(ids->second.front());
    if (first && first->engine) {
        TokenCount shared;
        for (std::size_t index = 0; index + 1 < query.prompt.size(); ++index)
            shared += query.prompt[index].tokens;
        if (shared.count() * limits_.minSessionsPerServer > first->engine->memory.count())
            return false;
    }
    return std::any_of(regions_.begin(), regions_.end(), [&](const auto& entry) {
        const auto servers = entry.second.servers.find(query.service);
        return servers != entry.second.servers.end() && servers->second > limits_.serversSharedByRegions;
    });
}

Duration PlacementTable::costOf(Duration wait, TokenCount uncachedTokens, double millisecondsPerToken) const
{
    return wait + milliseconds(static_cast<double>(uncachedTokens.count()) * millisecondsPerToken * limits_.prefillWeight);
}

void PlacementTable::stopAwaiting(Server& server, std::uint64_t id, const PlacedRequest& placed)
{
    server.awaitedFirstParts.erase({ placed.sentAt + placed.expected, id });
}

// How far the most overdue request exceeds its expected time to the first part. Zero within the margin, and zero if only one
// request is overdue, since that request itself may be the cause.
Duration PlacementTable::overdueTime(TimePoint now, const Server& server) const
{
    if (server.awaitedFirstParts.size() < 2)
        return Duration::zero();
    const auto mostOverdue = server.awaitedFirstParts.begin();
    if (now - std::next(mostOverdue)->first <= limits_.overdueMargin)
        return Duration::zero();
    return now - mostOverdue->first;
}

// The time to the first part at the average rates of the service, with the present load.
Duration PlacementTable::baseTime(TimePoint now, const Server& server, const PlacementQuery& query, TokenCount uncachedTokens) const
{
    const auto total = totalLoad(now, server);
    const auto idle = inMilliseconds(idleTime(now, server));
    if (!server.engine) {
        const auto slots = std::max<std::uint32_t>(1, server.state.server.slots);
        return milliseconds(idle * (1 + static_cast<double>(total.requests) / slots));
    }
    const auto tokensAhead = query.priority <= urgentPriority ? total.urgentBacklog : total.backlog;
    const auto tokens = static_cast<double>((tokensAhead + uncachedTokens).count());
    return milliseconds(idle + tokens * millisecondsPerToken(now, server.state.server.service));
}

Duration PlacementTable::estimateWait(TimePoint now, const Server& server, const PlacementQuery& query, TokenCount uncachedTokens) const
{
    const auto total = totalLoad(now, server);
    if (!server.engine)
        return overdueTime(now, server) + milliseconds(inMilliseconds(baseTime(now, server, query, uncachedTokens)) * server.rate.factor(now));
    auto wait = milliseconds(inMilliseconds(baseTime(now, server, query, uncachedTokens)) * server.rate.factor(now));
    wait += overdueTime(now, server);
    const auto reserved = (total.reservedTokens + query.promptTokens + query.maxAnswerTokens).count();
    if (static_cast<double>(reserved) > static_cast<double>(server.engine->memory.count()) * limits_.memoryShare || total.requests >= server.engine->slots)
        wait += memoryPenalty;
    return wait;
}

// The time until the first backend server of the service that asked for a pause may be sent requests again.
std::optional<Duration> PlacementTable::shortestPause(TimePoint now, const ServiceId& service) const
{
    std::optional<Duration> shortest;
    const auto ids = byService_.find(service);
    if (ids == byService_.end())
        return shortest;
    for (const auto& id : ids->second) {
        const auto& server = servers_.at(id);
        if (!server.isLeaving && now < server.pausedUntil)
            shortest = std::min(shortest.value_or(Duration::max()), server.pausedUntil - now);
    }
    return shortest;
}

// Updates the speeds and the bound on the load of the backend servers of a service, at most once in each period.
void PlacementTable::refreshAffinity(TimePoint now, ServiceAffinity& affinity)
{
    affinity.sessions.advance(now);
    affinity.sessions.setInstanceCount(std::max<std::size_t>(1, instances_.size()));
    if (affinity.refreshedAt && now - *affinity.refreshedAt < affinityRefreshPeriod)
        return;
    affinity.refreshedAt = now;
    const auto& first = servers_.at(affinity.sessions.servers().at(0));
    const auto slots = first.engine ? first.engine->slots : first.state.server.slots;
    affinity.bound = LoadBound(slots * freeSlotShare, inMilliseconds(freeReadingTime) / millisecondsPerToken(now, first.state.server.service));
    for (std::size_t index = 0; index < affinity.sessions.servers().size(); ++index) {
        const auto& server = servers_.at(affinity.sessions.servers().at(index));
        const auto load = totalLoad(now, server);
        affinity.bound.add(load.requests, load.backlog, server.rate.lastingFactor(now));
        affinity.sessions.setSpeed(index, 1 / server.rate.lastingFactor(now));
    }
}

bool PlacementTable::isWithinBound(TimePoint now, const Server& server, const ServiceAffinity& affinity) const
{
    const auto load = totalLoad(now, server);
    return !affinity.bound.isExceededBy(load.requests, load.backlog, server.rate.lastingFactor(now));
}

// The backend servers that hold the request's session, best first. The next in the ranking takes the place of one that can't be used or
// has too much load.
std::vector<PlacementTable::Server*> PlacementTable::sessionHolders(TimePoint now, const PlacementQuery& query, const ServiceAffinity& affinity)
{
    const auto& sessions = affinity.sessions;
    const auto session = PromptAffinity::sessionOf(query.prompt);
    std::vector<Server*> holders;
    if (!session)
        return holders;
    const auto count = sessions.holderCount(*session);
    for (const auto index : sessions.ranked(*session)) {
        auto& server = servers_.at(sessions.servers().at(index));
        if (holders.size() < count && isUsable(now, server, query) && isWithinBound(now, server, affinity))
            holders.push_back(&server);
    }
    return holders;
}

// The backend servers that a request draws by its hash.
std::vector<PlacementTable::Server*> PlacementTable::drawnServers(TimePoint now, const PlacementQuery& query, const ServiceAffinity& affinity)
{
    std::vector<Server*> drawn;
    for (const auto index : affinity.sessions.draw(query.requestHash, limits_.drawnServers)) {
        auto& server = servers_.at(affinity.sessions.servers().at(index));
        if (isUsable(now, server, query) && isWithinBound(now, server, affinity))
            drawn.push_back(&server);
    }
    return drawn;
}

PlacementTable::Candidate PlacementTable::candidateFor(TimePoint now, Server& server, const PlacementQuery& query, const ServerLocation* preferred)
{
    // A process that may be a new one holds nothing.
    server.assumedShare = server.restart.isSuspected(now) ? 0 : server.assumedCache.share(now);
    const auto tokens = uncachedTokens(server, query, preferred);
    const auto wait = estimateWait(now, server, query, tokens);
    return { &server, nullptr, wait, costOf(wait, tokens, millisecondsPerToken(now, query.service)) };
}

std::optional<PlacementTable::Candidate> PlacementTable::bestLocalServer(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred)
{
    const auto ids = byService_.find(query.service);
    if (ids == byService_.end() || !isAllowedIn(query, ownRegion_))
        return std::nullopt;
    auto& affinity = affinities_.at(query.service);
    refreshAffinity(now, affinity);
    std::optional<Candidate> best;
    const auto consider = [&](Server& server) {
        const auto candidate = candidateFor(now, server, query, preferred);
        if (!best || candidate.cost < best->cost)
            best = candidate;
    };
    if (ids->second.size() > limits_.serversAllConsidered && ranksByRegion(query)) {
        const auto timeLeft = (query.wasPlaced ? query.deadline : query.target) - now;
        for (auto* server : sessionHolders(now, query, affinity))
            consider(*server);
        // A prompt part that is read again delays others, so a holder that is in good time need not be the fastest.
        if (best && best->wait <= timeLeft / goodTimeDivisor)
            return best;
        for (auto* server : drawnServers(now, query, affinity))
            consider(*server);
        if (best && best->wait <= timeLeft / goodTimeDivisor)
            return best;
    }
    for (const auto& id : ids->second) {
        auto& server = servers_.at(id);
        if (isUsable(now, server, query))
            consider(server);
    }
    return best;
}

std::optional<PlacementTable::Candidate> PlacementTable::bestRemoteRegion(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred)
{
    std::optional<Candidate> best;
    for (const auto& [id, region] : regions_) {
        const auto servers = region.servers.find(query.service);
        if (id == ownRegion_ || servers == region.servers.end() || servers->second == 0 || !isAllowedIn(query, id) || query.failedRegions.contains(id))
            continue;
        if (!hasPermittedVersion(query, region))
            continue;
        // A region without a current estimate gets a high wait, so that it is the last choice.
        const auto roundTrip = measuredOr(region.roundTrip, now, limits_.regionRoundTrip);
        auto wait = roundTrip * 3;
        const auto tokens = uncachedTokens(region.cache, preferred && preferred->region == id, query);
        auto perToken = millisecondsPerToken(now, query.service);
        const auto found = region.waitEstimates.find(query.service);
        if (found != region.waitEstimates.end() && now - found->second.receivedAt <= limits_.reportLifetime) {
            const auto& estimate = found->second.estimate;
            perToken = estimate.millisecondsPerToken;
            const auto prefillTime = milliseconds(static_cast<double>(tokens.count()) * perToken);
            wait = roundTrip + prefillTime + (query.priority <= urgentPriority ? estimate.urgentWait : estimate.wait);
        }
        const auto cost = costOf(wait, tokens, perToken);
        if (!best || cost < best->cost)
            best = Candidate { nullptr, &id, wait, cost };
    }
    return best;
}

TokenCount PlacementTable::uncachedTokens(const Candidate& candidate, const PlacementQuery& query, const ServerLocation* preferred) const
{
    if (candidate.server)
        return uncachedTokens(*candidate.server, query, preferred);
    return uncachedTokens(regions_.at(*candidate.region).cache, preferred && preferred->region == *candidate.region, query);
}

// In uncached prompt tokens, or in requests for a plain service.
double PlacementTable::workOf(const ServiceId& service, TokenCount uncachedTokens) const
{
    const auto ids = byService_.find(service);
    const bool isEngine = ids != byService_.end() && !ids->second.empty() && servers_.at(ids->second.front()).engine;
    return isEngine ? std::max(1.0, static_cast<double>(uncachedTokens.count())) : 1;
}

RefusePlacement PlacementTable::refuse(TimePoint now, const PlacementQuery& query, ResultCode code, Duration wait, TokenCount uncachedTokens, std::optional<Duration> expected)
{
    RefusedRequest refused;
    refused.service = query.service;
    refused.priority = query.priority;
    refused.work = workOf(query.service, uncachedTokens);
    refused.instances = std::max<std::size_t>(1, instances_.size());
    refused.excess = wait;
    refused.timeLeft = query.deadline - now;
    refused.hash = query.requestHash;
    // The caller of a forwarded request returns to the instance that it called, and a request that was placed before is not sent again.
    refused.mayReturn = query.canLeaveRegion && !query.wasPlaced;
    refused.regionRate = 0;
    if (const auto ids = byService_.find(query.service); ids != byService_.end()) {
        const auto perToken = millisecondsPerToken(now, query.service);
        for (const auto& id : ids->second) {
            const auto& server = servers_.at(id);
            const auto perUnit = server.engine ? perToken : inMilliseconds(idleTime(now, server)) / std::max<std::uint32_t>(1, server.state.server.slots);
            refused.regionRate += inMilliseconds(std::chrono::seconds(1)) / std::max(perUnit, minMillisecondsPerToken);
        }
    }
    const auto forecast = retries_.refuse(now, refused);
    return { code, forecast.retryAfter, expected, forecast.isReserved, forecast.rate };
}

} // namespace Ibisturn
