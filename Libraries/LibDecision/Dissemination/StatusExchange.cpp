#include <LibDecision/Dissemination/StatusExchange.h>

#include <LibDecision/Dissemination/StatusCheck.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

/// The period of reports grows with the number of instances of a region, so that a collector's work does not.
constexpr Duration periodPerInstance = std::chrono::milliseconds(20);
constexpr Duration minPeriod = std::chrono::milliseconds(100);
constexpr Duration maxPeriod = std::chrono::milliseconds(400);
constexpr Duration minExchangePeriod = std::chrono::milliseconds(200);
/// A sender that was silent for this long is left out of the sums, and leaves this instance out of its own.
constexpr Duration statusTimeout = std::chrono::milliseconds(1200);
/// Sums are made anew for the next answer after this time.
constexpr Duration collectionLifetime = std::chrono::milliseconds(50);
constexpr std::size_t collectorRanks = CollectorChoice::collectorsPerRegion;
constexpr std::size_t maxSentReports = 64;
constexpr std::size_t maxEvidencePerRegion = 256;
constexpr std::size_t maxEndedProcesses = 8;
/// A process with a shorter uptime is sent all notes. It takes a few seconds until its membership and its connections are complete.
constexpr Duration startTime = std::chrono::seconds(5);
/// What is sent to others whose confirmed digests are not known, for example because the collector has just started. They have had the earlier
/// notes from their other collector.
constexpr Duration unconfirmedNotesTime = std::chrono::seconds(3);

void addDemand(std::map<WorkspaceId, AllowanceDemand>& sums, const AllowanceDemand& demand)
{
    auto& sum = sums[demand.workspace];
    sum.workspace = demand.workspace;
    sum.demand += demand.demand;
    sum.used += demand.used;
}

void addLoad(std::map<BackendServerId, InstanceLoad>& sums, const InstanceLoad& load)
{
    auto& sum = sums[load.server];
    sum.server = load.server;
    sum.requests += load.requests;
    sum.urgentBacklog += load.urgentBacklog;
    sum.backlog += load.backlog;
    sum.reservedTokens += load.reservedTokens;
}

template <typename Key, typename Value>
std::vector<Value> valuesOf(const std::map<Key, Value>& map)
{
    std::vector<Value> values;
    values.reserve(map.size());
    for (const auto& [key, value] : map)
        values.push_back(value);
    return values;
}

/// Subtracts this instance's own part from a sum that contains it.
void subtract(std::vector<AllowanceDemand>& sums, const std::vector<AllowanceDemand>& part)
{
    for (const auto& demand : part) {
        const auto sum = std::find_if(sums.begin(), sums.end(), [&demand](const auto& other) { return other.workspace == demand.workspace; });
        if (sum == sums.end())
            continue;
        sum->demand = std::max(TokensPerSecond(0), sum->demand - demand.demand);
        sum->used = std::max(TokenCount(0), sum->used - demand.used);
    }
}

void subtract(std::vector<InstanceLoad>& sums, const std::vector<InstanceLoad>& part)
{
    for (const auto& load : part) {
        const auto sum = std::find_if(sums.begin(), sums.end(), [&load](const auto& other) { return other.server == load.server; });
        if (sum == sums.end())
            continue;
        sum->requests -= std::min(sum->requests, load.requests);
        sum->urgentBacklog = std::max(TokenCount(0), sum->urgentBacklog - load.urgentBacklog);
        sum->backlog = std::max(TokenCount(0), sum->backlog - load.backlog);
        sum->reservedTokens = std::max(TokenCount(0), sum->reservedTokens - load.reservedTokens);
    }
}

/// Adds the regions that only `other` knows to `status`.
void addMissingRegions(FleetStatus& status, const FleetStatus& other)
{
    for (const auto& region : other.regions) {
        const auto isSame = [&region](const FleetStatus::Region& known) { return known.digest.region == region.digest.region; };
        if (std::none_of(status.regions.begin(), status.regions.end(), isSame))
            status.regions.push_back(region);
    }
}

} // namespace

StatusExchange::StatusExchange(InstanceId self, RegionId region, Incarnation incarnation, std::function<LocalStatus(TimePoint)> localStatus, TimePoint start)
    : self_(std::move(self))
    , region_(std::move(region))
    , incarnation_(incarnation)
    , localStatus_(std::move(localStatus))
    , nextReportAt_(start)
    , nextExchangeAt_(start)
{
}

void StatusExchange::setMembers(const MembershipView& membership)
{
    regionOf_.clear();
    sizes_.clear();
    for (const auto& member : membership.instances) {
        regionOf_[member.id] = member.region;
        ++sizes_[member.region];
    }
    ranked_ = rankCollectors(membership, region_);
    rank_ = rankOf(self_);
    auto others = ranked_;
    std::erase(others, self_);
    // A collector need not report to more than the other one.
    ownCollectors_.setCandidates(std::move(others), rank_ < collectorRanks ? collectorRanks - 1 : collectorRanks);
    std::erase_if(otherCollectors_, [this](const auto& entry) { return !sizes_.contains(entry.first); });
    for (const auto& [region, size] : sizes_) {
        if (region != region_)
            otherCollectors_[region].setCandidates(rankCollectors(membership, region));
    }
    const auto isGone = [this](const auto& entry) { return !regionOf_.contains(entry.first); };
    std::erase_if(processes_, isGone);
    std::erase_if(reports_, isGone);
    std::erase_if(digests_, isGone);
    std::erase_if(exchanges_, isGone);
    std::erase_if(digestReceivers_, isGone);
    std::erase_if(exchangeReceivers_, isGone);
}

StatusExchange::Messages StatusExchange::advance(TimePoint now)
{
    Messages messages;
    if (now >= nextReportAt_)
        sendReports(now, messages);
    if (rank_ < collectorRanks && now >= nextExchangeAt_)
        sendExchanges(now, messages);
    return messages;
}

std::optional<StatusExchange::Messages> StatusExchange::onReport(TimePoint now, const InstanceId& from, const InstanceReport& report)
{
    if (!isInOwnRegion(from) || !isPlausible(report) || !accept(from, report.incarnation, report.number))
        return std::nullopt;
    auto& received = reports_[from];
    received = { now, report };
    received.report.notes.clear();
    noteLog_.add(now, report.notes, NoteSource::OwnRegion);
    ++version_;
    if (!collected_.included.contains(from))
        collectedAt_ = {};
    const auto& collected = collect(now);
    const auto& included = collected.included.at(from);
    auto notes = notesForDigest(now, from, report, included.report);
    return Messages { SendDigest { from, { included.report, included.isCounted, collected.own, collected.loads, collected.others, collected.local.store, std::move(notes) } } };
}

std::optional<StatusExchange::Messages> StatusExchange::onDigest(TimePoint now, const InstanceId& from, const FleetDigest& digest)
{
    const auto known = digests_.find(from);
    const bool isOld = known != digests_.end() && digest.report < known->second.digest.report;
    const bool isAnswer = std::any_of(sentReports_.begin(), sentReports_.end(), [&digest](const SentReport& sent) { return sent.number == digest.report; });
    if (!isInOwnRegion(from) || digest.own.region != region_ || isOld || !isAnswer || !isPlausible(digest))
        return std::nullopt;
    auto& received = digests_[from];
    received = { now, digest };
    received.digest.notes.clear();
    noteLog_.add(now, digest.notes, NoteSource::Collector);
    limitInstances(received.digest.own);
    for (auto& other : received.digest.others)
        limitInstances(other);
    ownCollectors_.onAnswer(from);
    ++version_;
    return Messages();
}

std::optional<StatusExchange::Messages> StatusExchange::onExchange(TimePoint now, const InstanceId& from, const RegionExchange& exchange)
{
    const auto member = regionOf_.find(from);
    if (member == regionOf_.end() || member->second == region_ || exchange.digest.region != member->second)
        return std::nullopt;
    if (!isPlausible(exchange) || !accept(from, exchange.incarnation, exchange.number))
        return std::nullopt;
    auto& received = exchanges_[from];
    received = { now, exchange };
    received.exchange.notes.clear();
    noteLog_.add(now, exchange.notes, NoteSource::Collector);
    auto& receiver = exchangeReceivers_[from];
    if (receiver.incarnation != exchange.incarnation)
        receiver = { exchange.incarnation, {}, {} };
    receiver.deliveries.onConfirmed(exchange.confirmedExchange.count());
    limitInstances(received.exchange.digest);
    otherCollectors_[member->second].onAnswer(from);
    ++version_;
    if (exchange.isReply)
        return Messages();
    return Messages { makeExchange(now, from, true) };
}

FleetStatus StatusExchange::status(TimePoint now)
{
    auto best = statusFromReports(now);
    const auto coverage = [](const FleetStatus& status) { return status.regions.empty() ? 0 : status.regions.front().digest.instances; };
    for (const auto& [from, received] : digests_) {
        if (now - received.receivedAt > statusTimeout)
            continue;
        auto other = statusFromDigest(received);
        if (!other)
            continue;
        // Sums that this instance made itself are the newest.
        const bool isBetter = coverage(*other) > coverage(best) || (coverage(*other) == coverage(best) && other->receivedAt > best.receivedAt);
        if (isBetter)
            std::swap(best, *other);
        addMissingRegions(best, *other);
    }
    return best;
}

std::optional<TimePoint> StatusExchange::reportSentAt(const FleetDigest& digest) const
{
    const auto sent = std::find_if(sentReports_.begin(), sentReports_.end(), [&digest](const SentReport& report) { return report.number == digest.report; });
    return sent == sentReports_.end() ? std::nullopt : std::optional(sent->sentAt);
}

std::size_t StatusExchange::rankOf(const InstanceId& instance) const
{
    return static_cast<std::size_t>(std::find(ranked_.begin(), ranked_.end(), instance) - ranked_.begin());
}

Duration StatusExchange::period() const
{
    return std::clamp<Duration>(periodPerInstance * static_cast<std::int64_t>(sizeOf(region_)), minPeriod, maxPeriod);
}

Duration StatusExchange::exchangePeriod() const
{
    return std::max(period(), minExchangePeriod);
}

bool StatusExchange::isInOwnRegion(const InstanceId& instance) const
{
    const auto member = regionOf_.find(instance);
    return instance != self_ && member != regionOf_.end() && member->second == region_;
}

std::size_t StatusExchange::sizeOf(const RegionId& region) const
{
    const auto size = sizes_.find(region);
    return size == sizes_.end() ? 0 : size->second;
}

// A digest must not claim more instances than the region has: an instance's share of an allowance grows with their number.
void StatusExchange::limitInstances(RegionDigest& digest) const
{
    digest.instances = std::min(digest.instances, static_cast<std::uint32_t>(sizeOf(digest.region)));
}

// Accepts messages of one process in order, and of an instance that was restarted only those of its newest process.
bool StatusExchange::accept(const InstanceId& from, Incarnation incarnation, StatusNumber number)
{
    auto& process = processes_[from];
    if (process.ended.contains(incarnation))
        return false;
    if (process.incarnation != incarnation) {
        if (process.ended.size() >= maxEndedProcesses)
            process.ended.clear();
        if (process.incarnation != Incarnation())
            process.ended.insert(process.incarnation);
        process.incarnation = incarnation;
        process.newest = StatusNumber();
    }
    if (number <= process.newest)
        return false;
    process.newest = number;
    return true;
}

bool StatusExchange::isCounted(TimePoint now, const ReceivedReport& received) const
{
    const auto& lastDigestAgo = received.report.lastDigestAgo;
    return now - received.receivedAt <= statusTimeout && lastDigestAgo && *lastDigestAgo <= statusTimeout;
}

const StatusExchange::Collected& StatusExchange::collect(TimePoint now)
{
    if (collectedAt_ != TimePoint {} && now - collectedAt_ < collectionLifetime)
        return collected_;
    collectedAt_ = now;
    collected_ = {};
    collected_.local = localStatus_(now);
    noteLog_.add(now, collected_.local.notes, NoteSource::Self);
    const auto& local = collected_.local;
    std::map<WorkspaceId, AllowanceDemand> demands;
    std::map<BackendServerId, InstanceLoad> loads;
    collected_.own.region = region_;
    collected_.own.instances = 1;
    collected_.own.uptime = local.uptime;
    collected_.own.waitEstimates = local.waitEstimates;
    collected_.own.evidence = local.evidence;
    if (local.state == MemberState::Leaving)
        collected_.own.leaving.push_back({ self_, incarnation_ });
    for (const auto& demand : local.demands)
        addDemand(demands, demand);
    for (const auto& load : local.loads)
        addLoad(loads, load);
    for (const auto& [from, received] : reports_) {
        if (now - received.receivedAt > statusTimeout)
            continue;
        if (received.report.state == MemberState::Leaving)
            collected_.own.leaving.push_back({ from, received.report.incarnation });
        else if (std::find(local.withoutEntry.begin(), local.withoutEntry.end(), from) != local.withoutEntry.end())
            collected_.own.unlisted.push_back(from);
        for (const auto& load : received.report.loads)
            addLoad(loads, load);
        collected_.own.evidence.add(received.report.evidence, now - received.receivedAt);
        const bool counted = isCounted(now, received);
        collected_.included[from] = { received.report.number, counted };
        if (!counted)
            continue;
        ++collected_.own.instances;
        collected_.own.uptime = std::min(collected_.own.uptime, received.report.uptime);
        for (const auto& demand : received.report.demands)
            addDemand(demands, demand);
    }
    collected_.own.evidence.keepNewest(maxEvidencePerRegion);
    collected_.own.demands = valuesOf(demands);
    collected_.loads = valuesOf(loads);
    collected_.others = bestExchanges(now);
    return collected_;
}

// Of each other region, the digest that covers the most instances, if its collector also receives exchanges of this one.
std::vector<RegionDigest> StatusExchange::bestExchanges(TimePoint now) const
{
    std::map<RegionId, ReceivedExchange> best;
    for (const auto& [from, received] : exchanges_) {
        const auto& exchange = received.exchange;
        const bool isMutual = now - received.receivedAt <= statusTimeout && exchange.lastReceivedAgo && *exchange.lastReceivedAgo <= statusTimeout;
        if (!isMutual)
            continue;
        const auto [known, isFirst] = best.try_emplace(exchange.digest.region, received);
        if (!isFirst && exchange.digest.instances > known->second.exchange.digest.instances)
            known->second = received;
    }
    std::vector<RegionDigest> digests;
    for (const auto& [region, received] : best) {
        digests.push_back(received.exchange.digest);
        digests.back().evidence = {};
        digests.back().evidence.add(received.exchange.digest.evidence, now - received.receivedAt);
    }
    return digests;
}

FleetStatus StatusExchange::statusFromReports(TimePoint now)
{
    const auto& collected = collect(now);
    const auto& local = collected.local;
    FleetStatus status;
    status.receivedAt = collectedAt_;
    status.loads = collected.loads;
    subtract(status.loads, local.loads);
    FleetStatus::Region own { collected.own, collectedAt_ };
    --own.digest.instances;
    subtract(own.digest.demands, local.demands);
    status.regions.push_back(std::move(own));
    for (const auto& other : collected.others)
        status.regions.push_back({ other, collectedAt_ });
    return status;
}

// Nothing if the report that the digest contains is no longer known, so that this instance's part can't be subtracted.
std::optional<FleetStatus> StatusExchange::statusFromDigest(const ReceivedDigest& received) const
{
    const auto& digest = received.digest;
    const auto sent = std::find_if(sentReports_.begin(), sentReports_.end(), [&digest](const SentReport& report) { return report.number == digest.report; });
    if (sent == sentReports_.end())
        return std::nullopt;
    FleetStatus status;
    status.receivedAt = received.receivedAt;
    status.loads = digest.loads;
    subtract(status.loads, sent->loads);
    FleetStatus::Region own { digest.own, std::nullopt };
    if (digest.isCounted) {
        own.acknowledgedAt = sent->sentAt;
        own.digest.instances -= std::min(own.digest.instances, 1U);
        subtract(own.digest.demands, sent->demands);
    }
    const auto acknowledgedAt = own.acknowledgedAt;
    status.regions.push_back(std::move(own));
    for (const auto& other : digest.others)
        status.regions.push_back({ other, acknowledgedAt });
    return status;
}

SendExchange StatusExchange::makeExchange(TimePoint now, const InstanceId& peer, bool isReply)
{
    RegionExchange exchange;
    exchange.incarnation = incarnation_;
    exchange.number = lastNumber_ += StatusNumber(1);
    exchange.isReply = isReply;
    exchange.digest = collect(now).own;
    const auto received = exchanges_.find(peer);
    if (received != exchanges_.end()) {
        exchange.lastReceivedAgo = now - received->second.receivedAt;
        exchange.confirmedExchange = received->second.exchange.number;
    }
    exchange.notes = notesForExchange(now, peer, exchange.number, isReply);
    return { peer, std::move(exchange) };
}

std::vector<StreamNote> StatusExchange::takeRegionNotes(TimePoint now)
{
    return noteLog_.regionNotesFrom(now, std::exchange(takenRegionNotes_, noteLog_.end()));
}

// The notes for the digest that answers a report.
std::vector<StreamNote> StatusExchange::notesForDigest(TimePoint now, const InstanceId& peer, const InstanceReport& report, StatusNumber answered)
{
    if (!report.confirmedDigest)
        return {};
    auto& receiver = digestReceivers_[peer];
    if (receiver.incarnation != report.incarnation)
        receiver = { report.incarnation, {}, {} };
    receiver.deliveries.onConfirmed(report.confirmedDigest->count());
    const auto unconfirmed = report.uptime < startTime ? 0 : noteLog_.positionAt(now - unconfirmedNotesTime);
    receiver.deliveries.onSent(answered.count(), noteLog_.end());
    return noteLog_.notesFrom(now, receiver.deliveries.confirmed().value_or(unconfirmed));
}

// The notes for an exchange. A reply has none if this instance has just sent an exchange of its own to the peer: those notes are likely to be
// confirmed soon.
std::vector<StreamNote> StatusExchange::notesForExchange(TimePoint now, const InstanceId& peer, StatusNumber number, bool isReply)
{
    auto& receiver = exchangeReceivers_[peer];
    const auto from = receiver.deliveries.confirmed().value_or(0);
    if (isReply && receiver.sentAt && now - *receiver.sentAt <= exchangePeriod()) {
        receiver.deliveries.onSent(number.count(), from);
        return {};
    }
    receiver.sentAt = now;
    receiver.deliveries.onSent(number.count(), noteLog_.end());
    return noteLog_.regionNotesFrom(now, from);
}

void StatusExchange::sendReports(TimePoint now, Messages& messages)
{
    nextReportAt_ = now + period();
    const auto collectors = ownCollectors_.choose(now);
    if (collectors.empty())
        return;
    const auto local = localStatus_(now);
    noteLog_.add(now, local.notes, NoteSource::Self);
    const auto number = lastNumber_ += StatusNumber(1);
    sentReports_.push_back({ number, now, local.demands, local.loads });
    if (sentReports_.size() > maxSentReports)
        sentReports_.pop_front();
    for (const auto& collector : collectors) {
        InstanceReport report { incarnation_, number, local.state, local.uptime, std::nullopt, local.demands, local.loads, local.evidence, local.notes, StatusNumber() };
        const auto received = digests_.find(collector);
        if (received != digests_.end()) {
            report.lastDigestAgo = now - received->second.receivedAt;
            report.confirmedDigest = received->second.digest.report;
        }
        messages.emplace_back(SendReport { collector, std::move(report) });
    }
}

void StatusExchange::sendExchanges(TimePoint now, Messages& messages)
{
    nextExchangeAt_ = now + exchangePeriod();
    for (auto& [region, collectors] : otherCollectors_) {
        for (const auto& collector : collectors.choose(now))
            messages.emplace_back(makeExchange(now, collector, false));
    }
}

} // namespace Ibisturn
