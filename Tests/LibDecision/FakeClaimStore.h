#pragma once

#include <LibDecision/Claims/ClaimActions.h>

#include <algorithm>
#include <map>

namespace Ibisturn {

/// What the store checks before writing.
enum class StoreChecks : std::uint8_t {
    Revisions,
    Nothing,
};

/// A store with what claims need: compare-and-swap transactions and expiring records.
class FakeClaimStore {
public:
    FakeClaimStore(Duration retention, StoreChecks checks)
        : retention_(retention)
        , checks_(checks)
    {
    }

    BatchResult transact(TimePoint now, const std::vector<ClaimWrite>& writes)
    {
        expire(now);
        const auto isAsExpected = [this](const ClaimWrite& write) { return checks_ == StoreChecks::Nothing || revisionOf(write.id) == write.expected; };
        if (!std::all_of(writes.begin(), writes.end(), isAsExpected))
            return conflict(writes);
        ++revision_;
        for (const auto& write : writes)
            entries_[write.id] = { Revision(revision_), encodeClaimRecord(write.record), now + retention_ };
        return BatchWritten { Revision(revision_) };
    }

private:
    struct Entry {
        Revision revision;
        std::string value;
        TimePoint expires;
    };

    void expire(TimePoint now)
    {
        std::erase_if(entries_, [now](const auto& entry) { return entry.second.expires <= now; });
    }

    Revision revisionOf(const ClaimId& id) const
    {
        const auto found = entries_.find(id);
        return found == entries_.end() ? Revision(0) : found->second.revision;
    }

    BatchConflicted conflict(const std::vector<ClaimWrite>& writes) const
    {
        BatchConflicted result;
        for (const auto& write : writes) {
            const auto found = entries_.find(write.id);
            if (found != entries_.end())
                result.present.push_back({ write.id, found->second.revision, decodeClaimRecord(found->second.value) });
        }
        return result;
    }

    Duration retention_;
    StoreChecks checks_;
    std::int64_t revision_ { 0 };
    std::map<ClaimId, Entry> entries_;
};

} // namespace Ibisturn
