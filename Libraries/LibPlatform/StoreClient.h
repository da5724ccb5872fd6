#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Error.h>
#include <LibCore/Quantity.h>
#include <LibKernel/Asio.h>
#include <LibKernel/PluginRegistry.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// A key and its value as the store holds them.
struct StoreEntry {
    std::string key;
    std::string value;
    Revision revision;
};

/// All entries below a prefix at one revision.
struct StoreRange {
    Revision revision;
    std::vector<StoreEntry> entries;
};

/// A lease of the store; keys attached to it go when it expires.
using LeaseId = Quantity<struct LeaseTag, std::int64_t>;

/// One key's change, which takes effect only while the key is at `expected`; zero expects no such key, and nothing any.
struct StoreWrite {
    std::string key;
    /// The new value; nothing deletes the key.
    std::optional<std::string> value;
    std::optional<Revision> expected;
    /// The lease that the key is attached to; nothing keeps it for ever.
    std::optional<LeaseId> lease;
};

enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,
};

/// What became of a transaction.
struct StoreWriteResult {
    WriteOutcome outcome { WriteOutcome::Conflict };
    Revision revision;
    /// On a conflict, the present entries of the keys.
    std::vector<StoreEntry> current;
};

/// A change that a watch saw; no value means that the key was deleted.
struct StoreChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision;
};

/// Changes up to `revision`, in order.
struct StoreChanges {
    Revision revision;
    std::vector<StoreChange> changes;
};

/// The changes that a watch was to begin with are no longer kept.
class HistoryLost final : public Error {
public:
    HistoryLost()
        : Error(ResultCode::StoreUnavailable, Ran::No, "The store no longer keeps the changes that the watch begins with")
    {
    }
};

/// The platform's key-value service. Store clients are plug-ins.
/// Thread safety: one worker.
class StoreClient {
public:
    virtual ~StoreClient() = default;

    /// Reads all entries below `prefix`. Throws Error with StoreUnavailable.
    virtual Task<StoreRange> range(std::string prefix) = 0;

    /// Writes all of `writes` or none. Throws Error with StoreUnavailable if nothing was written and with
    /// WriteOutcomeUnknown if the reply was lost.
    virtual Task<StoreWriteResult> transact(std::vector<StoreWrite> writes) = 0;

    /// Grants a lease that expires after `timeToLive`. Throws Error with StoreUnavailable.
    virtual Task<LeaseId> grantLease(Duration timeToLive) = 0;

    /// Renews a lease. Throws Error with RecordNotFound if it has ended, and with StoreUnavailable.
    virtual Task<void> renewLease(LeaseId lease) = 0;

    /// Ends a lease and removes its keys. Throws Error with StoreUnavailable.
    virtual Task<void> endLease(LeaseId lease) = 0;

    /// Passes changes below `prefix` from revision `from` on, until the watch breaks; then throws Error, or HistoryLost.
    virtual Task<void> watch(std::string prefix, Revision from, std::function<void(StoreChanges)> onChanges) = 0;
};

using StoreClientRegistry = PluginRegistry<StoreClient, const Settings&>;

} // namespace Ibisturn
