#include <LibDecision/Streams/VersionLedger.h>

namespace Ibisturn {

void VersionLedger::setLifetime(Duration) { }
void VersionLedger::onRecord(TimePoint, const ServiceId&, const std::optional<VersionRecord>&) { }
void VersionLedger::onHistoryLost(TimePoint) { }
std::map<ServiceId, std::set<SoftwareVersion>> VersionLedger::listed() const { return {}; }
void VersionLedger::requestProof(TimePoint) { }
bool VersionLedger::needsRead(TimePoint) const { return false; }
void VersionLedger::beginRead(TimePoint) { }
void VersionLedger::onRead(TimePoint) { }
void VersionLedger::onReadFailed(TimePoint) { }
std::optional<SoftwareVersion> VersionLedger::onlyVersion(const ServiceId&, TimePoint) const { return std::nullopt; }
std::vector<LedgerWrite> VersionLedger::takeDueWrites(TimePoint, const std::vector<RegisteredServer>&, std::size_t) { return {}; }
void VersionLedger::onWriteFailed(TimePoint, const ServiceId&) { }

} // namespace Ibisturn
