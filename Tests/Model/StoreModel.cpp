#include <LibKernel/Asio.h>

#include "StoreModel.h"

#include <utility>

namespace Ibisturn::Model {

Revision StoreModel::put(const std::string& key, const std::string& value, std::optional<LeaseId> lease)
{
    history_.push_back({ key, value, revision() + Revision(1) });
    leaseByKey_.erase(key);
    if (lease) {
        leaseByKey_[key] = *lease;
        leases_[*lease].keys.push_back(key);
    }
    return revision();
}

void StoreModel::remove(const std::string& key)
{
    history_.push_back({ key, std::nullopt, revision() + Revision(1) });
    leaseByKey_.erase(key);
}

LeaseId StoreModel::grant(TimePoint now, Duration timeToLive)
{
    const LeaseId lease(++lastLease_);
    leases_[lease] = { timeToLive, now + timeToLive, {} };
    return lease;
}

bool StoreModel::renew(TimePoint now, LeaseId lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return false;
    found->second.expiresAt = now + found->second.timeToLive;
    return true;
}

void StoreModel::expire(TimePoint now)
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.expiresAt > now) {
            ++lease;
            continue;
        }
        for (const auto& key : std::exchange(lease->second.keys, {})) {
            const auto attached = leaseByKey_.find(key);
            if (attached != leaseByKey_.end() && attached->second == lease->first)
                remove(key);
        }
        lease = leases_.erase(lease);
    }
}

void StoreModel::extendLeases(Duration by)
{
    for (auto& [id, lease] : leases_)
        lease.expiresAt += by;
}

std::vector<RecordChange> StoreModel::list(const std::string& prefix, Revision position) const
{
    std::map<std::string, RecordChange> entries;
    for (const auto& change : history_) {
        if (change.revision > position || !change.key.starts_with(prefix))
            continue;
        if (change.value)
            entries[change.key] = change;
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
    if (after < compactedRevision_)
        return std::nullopt;
    std::vector<RecordChange> changes;
    for (const auto& change : history_) {
        if (change.revision > after && change.revision <= upTo && change.key.starts_with(prefix))
            changes.push_back(change);
    }
    return changes;
}

} // namespace Ibisturn::Model
