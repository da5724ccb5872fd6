#include <LibDecision/Streams/VersionLedger.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// A resumption is refused if it has not been proved within this time.
constexpr Duration proofTimeout = std::chrono::milliseconds(1000);
/// Resumptions that arrive one after another need a read each; this bounds the calls that an instance makes for them.
constexpr Duration minReadPeriod = std::chrono::milliseconds(150);
constexpr Duration readRetryPause = std::chrono::milliseconds(300);
constexpr Duration writeRetryPause = std::chrono::milliseconds(500);
constexpr Duration secondWriterDelay = std::chrono::milliseconds(300);
/// The delay of the third writer and, for each one after it, that between the two; at most `maxWriterSpread` in all. An instance learns
/// within the first delay what others wrote.
constexpr Duration laterWriterDelay = std::chrono::milliseconds(1000);
constexpr Duration writerSpacing = std::chrono::milliseconds(100);
constexpr Duration maxWriterSpread = std::chrono::milliseconds(4000);
/// Many times the number of services that a configuration has.
constexpr std::size_t maxServices = 1024;

Duration writerDelay(std::size_t rank)
{
    if (rank == 0)
        return Duration::zero();
    if (rank == 1)
        return secondWriterDelay;
    const auto later = static_cast<Duration::rep>(std::min<std::size_t>(rank - 2, 1000));
    return laterWriterDelay + std::min<Duration>(writerSpacing * later, maxWriterSpread);
}

} // namespace

void VersionLedger::setLifetime(TimePoint now, Duration lifetime)
{
    if (lifetime < lifetime_) {
        earlierLifetime_ = this->lifetime(now);
        earlierLifetimeUntil_ = now + earlierLifetime_;
    }
    lifetime_ = lifetime;
}

Duration VersionLedger::lifetime(TimePoint now) const
{
    return now < earlierLifetimeUntil_ ? std::max(lifetime_, earlierLifetime_) : lifetime_;
}

VersionLedger::ServiceState* VersionLedger::stateOf(const ServiceId& service)
{
    if (services_.size() >= maxServices && !services_.contains(service))
        return nullptr;
    return &services_[service];
}

void VersionLedger::onRecord(TimePoint now, const ServiceId& service, const std::optional<VersionRecord>& record, Revision asOf)
{
    if (era_ && asOf.era() > *era_)
        onHistoryLost(now);
    era_ = std::max(era_, std::optional(asOf.era()));
    auto* state = stateOf(service);
    if (!state || asOf < state->asOf)
        return;
    const bool isSame = record.has_value() == state->record.has_value() && (!record || record->revision == state->record->revision);
    if (!isSame)
        state->absentSince.clear();
    state->record = record;
    state->asOf = asOf;
}

void VersionLedger::onHistoryLost(TimePoint now)
{
    historyLostAt_ = now;
    lastReadStartedAt_.reset();
    for (auto& [service, state] : services_)
        state.absentSince.clear();
}

bool VersionLedger::isHistoryLost(TimePoint now) const
{
    return historyLostAt_ && now < *historyLostAt_ + lifetime(now) + settlingTime;
}

std::map<ServiceId, std::set<SoftwareVersion>> VersionLedger::listed() const
{
    std::map<ServiceId, std::set<SoftwareVersion>> listed;
    for (const auto& [service, state] : services_) {
        if (state.record && !state.record->listed.empty())
            listed[service] = state.record->listed;
    }
    return listed;
}

bool VersionLedger::hasSeveralVersions() const
{
    return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
        const auto& record = entry.second.record;
        return record && record->listed.size() + record->retiring.size() > 1;
    });
}

bool VersionLedger::isListed(const ServiceId& service, const SoftwareVersion& version) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.record && found->second.record->listed.contains(version);
}

std::size_t VersionLedger::recordCount() const
{
    return static_cast<std::size_t>(std::count_if(services_.begin(), services_.end(), [](const auto& entry) { return entry.second.record.has_value(); }));
}

void VersionLedger::requestProof(TimePoint now)
{
    proofRequestedAt_ = now;
}

bool VersionLedger::isProofRequested(TimePoint now) const
{
    return proofRequestedAt_ && now - *proofRequestedAt_ <= proofTimeout;
}

bool VersionLedger::needsRead(TimePoint now) const
{
    if (!isProofRequested(now) || isReading_ || now < nextReadAt_)
        return false;
    const bool isAnswered = lastReadStartedAt_ && *lastReadStartedAt_ >= *proofRequestedAt_;
    return !isAnswered && !isHistoryLost(now);
}

void VersionLedger::beginRead(TimePoint now)
{
    isReading_ = true;
    nextReadAt_ = now + minReadPeriod;
}

void VersionLedger::onRead(TimePoint now, TimePoint startedAt, const std::map<ServiceId, VersionRecord>& records, Revision position)
{
    isReading_ = false;
    if (era_ && position.era() > *era_)
        onHistoryLost(now);
    era_ = std::max(era_, std::optional(position.era()));
    for (const auto& [service, record] : records)
        onRecord(now, service, record, record.revision);
    std::vector<ServiceId> missing;
    for (const auto& [service, state] : services_) {
        if (state.record && !records.contains(service))
            missing.push_back(service);
    }
    for (const auto& service : missing)
        onRecord(now, service, std::nullopt, position);
    lastReadStartedAt_ = startedAt;
}

void VersionLedger::onReadFailed(TimePoint now)
{
    isReading_ = false;
    nextReadAt_ = now + readRetryPause;
}

std::optional<SoftwareVersion> VersionLedger::onlyVersion(const ServiceId& service, TimePoint since) const
{
    if (!lastReadStartedAt_ || *lastReadStartedAt_ < since || isHistoryLost(*lastReadStartedAt_))
        return std::nullopt;
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.record)
        return std::nullopt;
    const auto& record = *found->second.record;
    if (record.listed.size() + record.retiring.size() != 1)
        return std::nullopt;
    const auto& version = record.listed.empty() ? *record.retiring.begin() : *record.listed.begin();
    return version.isEmpty() ? std::nullopt : std::optional(version);
}

void VersionLedger::updateAbsence(TimePoint now, ServiceState& state, const std::set<SoftwareVersion>& present, RegistryView view) const
{
    if (!state.record || view != RegistryView::Complete) {
        state.absentSince.clear();
        return;
    }
    for (const auto* versions : { &state.record->listed, &state.record->retiring }) {
        for (const auto& version : *versions) {
            if (present.contains(version))
                state.absentSince.erase(version);
            else
                state.absentSince.try_emplace(version, now);
        }
    }
}

VersionRecord VersionLedger::targetOf(TimePoint now, const ServiceState& state, const std::set<SoftwareVersion>& present) const
{
    auto target = state.record.value_or(VersionRecord());
    for (const auto& version : present) {
        const bool isFull = target.listed.size() + target.retiring.size() >= maxVersions;
        if (target.retiring.erase(version) > 0 || !isFull)
            target.listed.insert(version);
    }
    for (const auto& [version, since] : state.absentSince) {
        if (target.listed.contains(version) && now - since >= retirementDelay) {
            target.listed.erase(version);
            target.retiring.insert(version);
        } else if (target.retiring.contains(version) && now - since >= lifetime(now) + settlingTime) {
            target.retiring.erase(version);
        }
    }
    return target;
}

std::vector<LedgerWrite> VersionLedger::takeDueWrites(TimePoint now, const std::map<ServiceId, std::set<SoftwareVersion>>& registered, RegistryView view, std::size_t rank)
{
    static const std::set<SoftwareVersion> none;
    for (const auto& [service, versions] : registered)
        stateOf(service);
    std::vector<LedgerWrite> due;
    for (auto& [service, state] : services_) {
        const auto found = registered.find(service);
        const auto& present = found == registered.end() ? none : found->second;
        updateAbsence(now, state, present, view);
        const auto target = targetOf(now, state, present);
        const bool isUpToDate = state.record ? !target.isEmpty() && target.hasSameVersions(*state.record) : target.isEmpty();
        if (view == RegistryView::Unavailable || isUpToDate) {
            state.dueSince.reset();
            continue;
        }
        if (!state.dueSince)
            state.dueSince = now;
        if (state.isBeingWritten || now < state.pausedUntil || now - *state.dueSince < writerDelay(rank))
            continue;
        state.isBeingWritten = true;
        due.push_back({ service, target.listed, target.retiring, state.record ? state.record->revision : Revision() });
    }
    // What the store had of a service is remembered, so that a late reply does not bring it back, as long as there are few.
    if (services_.size() >= maxServices)
        std::erase_if(services_, [&registered](const auto& entry) { return !entry.second.record && !entry.second.isBeingWritten && !registered.contains(entry.first); });
    return due;
}

void VersionLedger::onWritten(const ServiceId& service)
{
    if (const auto found = services_.find(service); found != services_.end())
        found->second.isBeingWritten = false;
}

void VersionLedger::onWriteFailed(TimePoint now, const ServiceId& service)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    found->second.isBeingWritten = false;
    found->second.pausedUntil = now + writeRetryPause;
    // The order of the writers applies again, so that a store that refuses one is not called by all.
    found->second.dueSince.reset();
}

} // namespace Ibisturn
