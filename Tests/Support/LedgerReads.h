#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibKernel/Pause.h>

#include <map>
#include <set>
#include <utility>

namespace Ibisturn::Testing {

/// Completes a read of the ledger of software versions that was begun at `startedAt`, and that returned `listed`.
inline void completeLedgerRead(InstanceTables& tables, TimePoint startedAt, const std::map<ServiceId, std::set<SoftwareVersion>>& listed)
{
    std::map<ServiceId, VersionRecord> records;
    for (const auto& [service, versions] : listed) {
        VersionRecord record;
        record.listed = versions;
        record.revision = Revision(1);
        records[service] = record;
    }
    tables.versionLedger.onRead(SteadyClock().now(), startedAt, records, Revision(1));
}

/// Reads the ledger whenever a resumption asks for a proof, as an instance does that reaches its store, which lists `listed`. Runs until
/// the event loop ends. Precondition: `tables` outlives the event loop.
inline Task<void> answerLedgerReads(InstanceTables& tables, std::map<ServiceId, std::set<SoftwareVersion>> listed)
{
    for (;;) {
        const auto startedAt = SteadyClock().now();
        if (tables.versionLedger.needsRead(startedAt)) {
            tables.versionLedger.beginRead(startedAt);
            co_await pause(std::chrono::milliseconds(5));
            completeLedgerRead(tables, startedAt, listed);
        }
        co_await pause(std::chrono::milliseconds(5));
    }
}

} // namespace Ibisturn::Testing
