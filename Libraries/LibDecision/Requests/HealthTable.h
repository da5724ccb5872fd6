#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace Ibisturn {

/// How a HealthTable reacts.
struct HealthLimits {
    /// The first pause after a failure; each further failure doubles it.
    Duration firstPause { std::chrono::seconds(1) };
    Duration longestPause { std::chrono::seconds(30) };
    /// How long a target that said that it leaves is left alone.
    Duration leavingPause { std::chrono::seconds(60) };
    /// How long a target is remembered after its pause if nothing more is heard of it.
    Duration memory { std::chrono::minutes(5) };
    /// Successes after which a target that returns is used without a bound.
    std::uint32_t successesToReturn { 5 };
};

/// Judges targets by what calls to them show. The first failure keeps new requests away; after a pause the
/// target returns step by step: one request, then twice as many at once after each success.
/// A target without an entry is healthy, so the table holds no more than the troubled ones.
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
    bool mayUse(const Id& id, TimePoint now) const
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return true;
        const auto& entry = found->second;
        return now >= entry.pausedUntil && entry.underWay < permittedAtOnce(entry);
    }

    /// Forgets targets of which nothing was heard for long, such as ones that were replaced.
    void forgetOld(TimePoint now)
    {
        std::erase_if(entries_, [this, now](const auto& item) {
            return item.second.underWay == 0 && now >= item.second.pausedUntil + limits_.memory;
        });
    }

    /// Notes a request that is about to go to `id`. One of noteSuccess(), noteFailure() and noteNothing() must follow.
    void noteDispatch(const Id& id)
    {
        const auto found = entries_.find(id);
        if (found != entries_.end())
            ++found->second.underWay;
    }

    /// Notes a whole answer.
    void noteSuccess(const Id& id, TimePoint now)
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return;
        auto& entry = found->second;
        finish(entry);
        // An answer to a request from before the pause says nothing of what came after.
        if (now < entry.pausedUntil)
            return;
        if (++entry.successes >= limits_.successesToReturn)
            entries_.erase(found);
    }

    /// Notes a failed connection, a timeout or a cut answer.
    void noteFailure(const Id& id, TimePoint now)
    {
        auto& entry = entries_[id];
        finish(entry);
        entry.successes = 0;
        // Requests that fail together are one piece of evidence.
        if (now < entry.pausedUntil)
            return;
        entry.pausedUntil = now + pauseAfter(entry.failures);
        ++entry.failures;
    }

    /// Notes that the target itself said that it leaves. Precondition: noteDispatch() came for this request.
    void noteLeaving(const Id& id, TimePoint now)
    {
        auto& entry = entries_[id];
        finish(entry);
        entry.successes = 0;
        entry.pausedUntil = std::max(entry.pausedUntil, now + limits_.leavingPause);
    }

    /// Notes the end of a request that says nothing of the target, such as a caller that left.
    void noteNothing(const Id& id)
    {
        const auto found = entries_.find(id);
        if (found != entries_.end())
            finish(found->second);
    }

private:
    struct Entry {
        TimePoint pausedUntil {};
        std::uint32_t failures { 0 };
        std::uint32_t successes { 0 };
        std::uint32_t underWay { 0 };
    };

    static std::uint32_t permittedAtOnce(const Entry& entry) { return 1U << entry.successes; }

    // Requests from before the entry was made are not counted in it.
    static void finish(Entry& entry)
    {
        if (entry.underWay > 0)
            --entry.underWay;
    }

    Duration pauseAfter(std::uint32_t failures) const
    {
        constexpr std::uint32_t mostDoublings = 16;
        return std::min(limits_.longestPause, limits_.firstPause * (1U << std::min(failures, mostDoublings)));
    }

    HealthLimits limits_;
    std::unordered_map<Id, Entry> entries_;
};

using BackendHealth = HealthTable<BackendServerId>;
using PeerHealth = HealthTable<InstanceId>;

} // namespace Ibisturn
