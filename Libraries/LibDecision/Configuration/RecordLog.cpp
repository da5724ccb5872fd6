#include <LibDecision/Configuration/RecordLog.h>

#include <utility>

namespace Ibisturn {

RecordLog::RecordLog(std::string prefix, std::size_t maxChanges)
    : records_(std::move(prefix))
    , maxChanges_(maxChanges)
{
}

Adoption RecordLog::adopt(const ConfigurationUpdate& update)
{
    if (update.to <= revision_)
        return Adoption::Known;
    if (update.kind == UpdateKind::Delta && (update.from > revision_ || revision_ == noRevision))
        return Adoption::Gap;
    if (update.kind == UpdateKind::Full)
        adoptFull(update);
    else
        adoptDelta(update);
    revision_ = update.to;
    records_.advance(revision_);
    return Adoption::Adopted;
}

void RecordLog::adoptFull(const ConfigurationUpdate& update)
{
    records_.reset(update.to);
    for (const auto& change : update.changes)
        records_.apply(change.key, change.value, change.revision);
    // A full update does not list deleted records, so no delta can start before this revision.
    changes_.clear();
    logStart_ = update.to;
}

void RecordLog::adoptDelta(const ConfigurationUpdate& update)
{
    for (const auto& change : update.changes) {
        if (change.revision <= revision_)
            continue;
        records_.apply(change.key, change.value, change.revision);
        changes_.push_back(change);
    }
    trimChanges();
}

void RecordLog::trimChanges()
{
    while (changes_.size() > maxChanges_) {
        logStart_ = changes_.front().revision;
        // A transaction changes several records at one revision and must not be sent in part.
        while (!changes_.empty() && changes_.front().revision == logStart_)
            changes_.pop_front();
    }
}

bool RecordLog::hasChangesAfter(Revision from) const
{
    return revision_ != noRevision && from >= logStart_;
}

ConfigurationUpdate RecordLog::updateFrom(Revision from) const
{
    if (!hasChangesAfter(from)) {
        ConfigurationUpdate update { UpdateKind::Full, noRevision, revision_, {} };
        for (const auto& [key, entry] : records_.entries())
            update.changes.push_back({ key, entry.json, entry.revision });
        return update;
    }
    ConfigurationUpdate update { UpdateKind::Delta, from, revision_, {} };
    for (const auto& change : changes_) {
        if (change.revision > from)
            update.changes.push_back(change);
    }
    return update;
}

ByteCount RecordLog::size() const
{
    std::size_t bytes = 0;
    for (const auto& [key, entry] : records_.entries())
        bytes += key.size() + entry.json.size() + sizeof(entry);
    for (const auto& change : changes_)
        bytes += change.key.size() + (change.value ? change.value->size() : 0) + sizeof(change);
    return ByteCount(bytes);
}

} // namespace Ibisturn
