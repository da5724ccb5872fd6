#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibKernel/Pause.h>

#include <map>
#include <set>
#include <utility>

namespace Ibisturn::Testing {

/// Reads the ledger of software versions whenever a resumption asks for a proof, as an instance does that reaches its store, which has
/// `records`. Runs until the event loop ends. Precondition: `tables` outlives the event loop.
inline Task<void> answerLedgerReads(InstanceTables& tables, std::map<ServiceId, std::set<SoftwareVersion>> records)
{
    for (std::int64_t revision = 1;; ++revision) {
        const auto startedAt = SteadyClock().now();
        if (tables.versionLedger.needsRead(startedAt)) {
            tables.versionLedger.beginRead(startedAt);
            co_await pause(std::chrono::milliseconds(5));
            const auto now = SteadyClock().now();
            for (const auto& [service, versions] : records)
                tables.versionLedger.onRecord(now, service, VersionRecord { versions, Revision(revision) });
            tables.versionLedger.onRead(startedAt);
        }
        co_await pause(std::chrono::milliseconds(5));
    }
}

} // namespace Ibisturn::Testing
