#include <LibKernel/Asio.h>

#include "StoreModel.h"

#include <algorithm>
#include <utility>

namespace Ibisturn::Model {

Revision StoreModel::put(const std::string& key, const std::string& value, std::optional<LeaseId> lease)
{
    history_.push_back({ { key, value, revision().next() }, lease });
    leaseByKey_.erase(key);
    if (lease) {
        leaseByKey_[key] = *lease;
        leases_[*lease].keys.push_back(key);
    }
    return revision();
}

void StoreModel::remove(const std::string& key)
{
    history_.push_back({ { key, std::nullopt, revision().next() }, std::nullopt });
    leaseByKey_.erase(key);
}

LeaseId StoreModel::grant(TimePoint now, Duration timeToLive)
{
    const LeaseId lease { ++lastLease_, era_ };
    leases_[lease] = { timeToLive, now + timeToLive, history_.size(), std::nullopt, {} };
    return lease;
}

bool StoreModel::renew(TimePoint now, LeaseId lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end() || found->second.endedAfter)
        return false;
    found->second.expiresAt = now + found->second.timeToLive;
    return true;
}

void StoreModel::expire(TimePoint now)
{
    for (auto& [id, lease] : leases_) {
        if (lease.endedAfter || lease.expiresAt > now)
            continue;
        lease.endedAfter = history_.size();
        for (const auto& key : std::exchange(lease.keys, {})) {
            const auto attached = leaseByKey_.find(key);
            if (attached != leaseByKey_.end() && attached->second == id)
                remove(key);
        }
    }
}

void StoreModel::extendLeases(Duration by)
{
    for (auto& [id, lease] : leases_)
        lease.expiresAt += by;
}

void StoreModel::restore(TimePoint now, Revision revision)
{
    history_.resize(static_cast<std::size_t>(revision.number()));
    for (const auto& [id, lease] : leases_) {
        if (lease.grantedAfter > history_.size())
            lastLease_ = std::min(lastLease_, id.number - 1);
    }
    compactedRevision_ = std::min(compactedRevision_, Revision(revision.number(), compactedRevision_.era()));
    era_ += StoreEra(1);
    std::erase_if(leases_, [this](const auto& entry) { return entry.second.grantedAfter > history_.size(); });
    leaseByKey_.clear();
    for (auto& [id, lease] : leases_) {
        const bool hadEnded = lease.endedAfter && *lease.endedAfter < history_.size();
        if (!hadEnded)
            lease.endedAfter.reset();
        lease.expiresAt = now + lease.timeToLive;
        lease.keys.clear();
    }
    for (const auto& written : history_) {
        const auto& key = written.change.key;
        leaseByKey_.erase(key);
        if (!written.lease || !leases_.contains(*written.lease) || leases_[*written.lease].endedAfter)
            continue;
        leaseByKey_[key] = *written.lease;
        leases_[*written.lease].keys.push_back(key);
    }
}

std::vector<RecordChange> StoreModel::list(const std::string& prefix, Revision position) const
{
    std::map<std::string, RecordChange> entries;
    for (const auto& [change, lease] : history_) {
        if (change.revision.number() > position.number() || !change.key.starts_with(prefix))
            continue;
        if (change.value)
            entries[change.key] = withEra(change);
        else
            entries.erase(change.key);
    }
    std::vector<RecordChange> listed;
    listed.reserve(entries.size());
    for (auto& [key, change] : entries)
        listed.push_back(std::move(change));
    return listed;
}

std::optional<std::vector<RecordChange>> StoreModel::changes(const std::string& prefix, Revision after, Revision upTo) const
{
    if (after.era() != era() || after.number() < compactedRevision_.number() || after > revision())
        return std::nullopt;
    std::vector<RecordChange> changes;
    for (const auto& [change, lease] : history_) {
        if (change.revision.number() > after.number() && change.revision.number() <= upTo.number() && change.key.starts_with(prefix))
            changes.push_back(withEra(change));
    }
    return changes;
}

} // namespace Ibisturn::Model
