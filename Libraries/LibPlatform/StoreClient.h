#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Error.h>
#include <LibCore/Quantity.h>
#include <LibCore/Revision.h>
#include <LibKernel/Asio.h>
#include <LibKernel/PluginRegistry.h>

#include <compare>
#include <cstdint>
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

/// A lease of the store; keys attached to it are deleted when it expires. It ends with the era in which it was granted.
struct LeaseId {
    std::int64_t number { 0 };
    StoreEra era {};

    constexpr auto operator<=>(const LeaseId&) const = default;
};

/// A change of one key. It takes effect only if the key's revision is `expected`: zero requires that the key does not exist,
/// and unset allows any.
struct StoreWrite {
    std::string key;
    /// The new value; unset deletes the key.
    std::optional<std::string> value;
    std::optional<Revision> expected;
    /// The lease to attach the key to; unset makes the key permanent.
    std::optional<LeaseId> lease;
};

enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,
};

/// The result of a transaction.
struct StoreWriteResult {
    WriteOutcome outcome { WriteOutcome::Conflict };
    Revision revision;
    /// On a conflict, the current entries of the keys.
    std::vector<StoreEntry> current;
};

/// A change received by a watch; an unset value means that the key was deleted.
struct StoreChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision;
};

/// Changes up to `revision`, in order.
struct StoreChanges {
    Revision revision;
    std::vector<StoreChange> changes;
    /// The store had no later changes at this time, which is earlier than the arrival of its reply. Set by clients of stores that
    /// confirm that there are no changes.
    TimePoint asOf {};
};

/// The store no longer has the changes that a watch was to start with, or has come back from an older copy that never had them.
class HistoryUnavailable final : public Error {
public:
    explicit HistoryUnavailable(const std::string& reason)
        : Error(ResultCode::StoreUnavailable, Ran::No, reason)
    {
    }
};

/// The platform's key-value service. Store clients are plug-ins.
/// Thread safety: one worker.
class StoreClient {
public:
    virtual ~StoreClient() = default;

    /// The newest era in which the store has answered; always the first one for a store that never comes back from an older copy.
    virtual StoreEra era() const { return {}; }

    /// Whether the store has come back from an older copy at least once before era().
    virtual bool hasComeBack() const { return false; }

    /// How many items of the store's replies could not be used as they were.
    virtual std::uint64_t oddItems() const { return 0; }

    /// Reads all entries below `prefix`, all in one era. Throws Error with StoreUnavailable.
    virtual Task<StoreRange> range(std::string prefix) = 0;

    /// Writes all of `writes` or none. A write that expects a revision of an earlier era conflicts, and one under a lease of an earlier
    /// era fails.
    /// Throws Error with StoreUnavailable if nothing was written and with WriteOutcomeUnknown if the reply was lost.
    virtual Task<StoreWriteResult> transact(std::vector<StoreWrite> writes) = 0;

    /// Grants a lease that expires after `timeToLive`. Throws Error with StoreUnavailable.
    virtual Task<LeaseId> grantLease(Duration timeToLive) = 0;

    /// Renews a lease. Throws Error with RecordNotFound if it has ended, also with its era, and with StoreUnavailable.
    virtual Task<void> renewLease(LeaseId lease) = 0;

    /// Ends a lease and removes its keys. Throws Error with StoreUnavailable.
    virtual Task<void> endLease(LeaseId lease) = 0;

    /// Passes on the changes below `prefix` after revision `after` until the watch breaks; then throws Error, or
    /// HistoryUnavailable. Without changes, `onChanges` is called soon after the start and then about once in `confirmationPeriod`,
    /// if the store can confirm that there are none. An exception from `onChanges` ends the watch.
    virtual Task<void> watch(std::string prefix, Revision after, Duration confirmationPeriod, std::function<void(StoreChanges)> onChanges) = 0;
};

using StoreClientRegistry = PluginRegistry<StoreClient, const Settings&>;

} // namespace Ibisturn
