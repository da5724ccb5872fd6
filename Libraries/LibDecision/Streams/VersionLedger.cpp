#include <LibDecision/Streams/VersionLedger.h>

namespace Ibisturn {

void VersionLedger::setLifetime(Duration) { }

void VersionLedger::onRecord(TimePoint, const ServiceId& service, const std::optional<VersionRecord>& record)
{
    stubListed_[service] = record ? record->listed : std::set<SoftwareVersion> {};
}

void VersionLedger::onHistoryLost(TimePoint) { }
std::map<ServiceId, std::set<SoftwareVersion>> VersionLedger::listed() const { return stubListed_; }
void VersionLedger::requestProof(TimePoint) { isStubWanted_ = true; }
bool VersionLedger::needsRead(TimePoint) const { return isStubWanted_; }
void VersionLedger::beginRead(TimePoint) { isStubWanted_ = false; }

void VersionLedger::onRead(TimePoint now, TimePoint startedAt, const std::map<ServiceId, VersionRecord>& records, Revision)
{
    for (const auto& [service, record] : records)
        onRecord(now, service, record);
    stubReadAt_ = startedAt;
}

void VersionLedger::onReadFailed(TimePoint) { isStubWanted_ = true; }

std::optional<SoftwareVersion> VersionLedger::onlyVersion(const ServiceId& service, TimePoint since) const
{
    const auto found = stubListed_.find(service);
    if (!stubReadAt_ || *stubReadAt_ < since || found == stubListed_.end() || found->second.size() != 1)
        return std::nullopt;
    return *found->second.begin();
}

std::vector<LedgerWrite> VersionLedger::takeDueWrites(TimePoint, const std::vector<RegisteredServer>&, std::size_t) { return {}; }
void VersionLedger::onWriteFailed(TimePoint, const ServiceId&) { }

} // namespace Ibisturn
