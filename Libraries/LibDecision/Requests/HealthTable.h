#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace Ibisturn {

/// Timing and thresholds of a HealthTable.
struct HealthLimits {
    /// Backoff after the first failure; each further failure doubles it.
    Duration initialBackoff { std::chrono::seconds(1) };
    Duration maxBackoff { std::chrono::seconds(30) };
    /// How long a target that announced its shutdown is excluded.
    Duration leavingBackoff { std::chrono::seconds(60) };
    /// How long an entry is kept after its backoff if no further results arrive.
    Duration retention { std::chrono::minutes(5) };
    /// Successes after which a recovering target is used without a concurrency limit.
    std::uint32_t successesToRecover { 5 };
};

/// Tracks the health of targets from the results of calls to them. The first failure stops new requests; after a backoff
/// the target is reintroduced gradually: one concurrent request, doubled after each success.
/// A target without an entry is healthy, so the table only contains failed and recovering targets.
/// Thread safety: one thread at a time.
template <typename Id>
class HealthTable {
public:
    explicit HealthTable(HealthLimits limits = {})
        : limits_(limits)
    {
    }

    /// Whether every target is healthy.
    bool isEmpty() const { return entries_.empty(); }

    /// Whether a new request may go to `id`.
    bool canUse(const Id& id, TimePoint now) const
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return true;
        const auto& entry = found->second;
        return now >= entry.backoffUntil && entry.inFlight < maxInFlight(entry);
    }

    /// Removes targets without recent results, such as ones that were replaced.
    void evictExpired(TimePoint now)
    {
        std::erase_if(entries_, [this, now](const auto& item) {
            return item.second.inFlight == 0 && now >= item.second.backoffUntil + limits_.retention;
        });
    }

    /// Records a request that is about to be sent to `id`. One of recordSuccess(), recordFailure(), recordLeaving() and
    /// recordInconclusive() must follow.
    void recordDispatch(const Id& id)
    {
        const auto found = entries_.find(id);
        if (found != entries_.end())
            ++found->second.inFlight;
    }

    /// Records a complete answer.
    void recordSuccess(const Id& id, TimePoint now)
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return;
        auto& entry = found->second;
        finish(entry);
        // The request was sent before the backoff started, so its success is no evidence of recovery.
        if (now < entry.backoffUntil)
            return;
        if (++entry.successes >= limits_.successesToRecover)
            entries_.erase(found);
    }

    /// Records a failed connection, a timeout or a truncated answer.
    void recordFailure(const Id& id, TimePoint now)
    {
        auto& entry = entries_[id];
        finish(entry);
        entry.successes = 0;
        // Concurrent requests that fail together count as one failure.
        if (now < entry.backoffUntil)
            return;
        entry.backoffUntil = now + backoffAfter(entry.failures);
        ++entry.failures;
    }

    /// Records that the target announced its shutdown. Precondition: recordDispatch() was called for this request.
    void recordLeaving(const Id& id, TimePoint now)
    {
        auto& entry = entries_[id];
        finish(entry);
        entry.successes = 0;
        entry.backoffUntil = std::max(entry.backoffUntil, now + limits_.leavingBackoff);
    }

    /// Records the end of a request that is no evidence about the target, such as when the caller disconnected.
    void recordInconclusive(const Id& id)
    {
        const auto found = entries_.find(id);
        if (found != entries_.end())
            finish(found->second);
    }

private:
    struct Entry {
        TimePoint backoffUntil {};
        std::uint32_t failures { 0 };
        std::uint32_t successes { 0 };
        std::uint32_t inFlight { 0 };
    };

    static std::uint32_t maxInFlight(const Entry& entry) { return 1U << entry.successes; }

    // Requests that were sent before the entry was created are not counted in it.
    static void finish(Entry& entry)
    {
        if (entry.inFlight > 0)
            --entry.inFlight;
    }

    Duration backoffAfter(std::uint32_t failures) const
    {
        constexpr std::uint32_t maxDoublings = 16;
        return std::min(limits_.maxBackoff, limits_.initialBackoff * (1U << std::min(failures, maxDoublings)));
    }

    HealthLimits limits_;
    std::unordered_map<Id, Entry> entries_;
};

using BackendHealth = HealthTable<BackendServerId>;
using PeerHealth = HealthTable<InstanceId>;

} // namespace Ibisturn
