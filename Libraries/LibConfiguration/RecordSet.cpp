#include <LibConfiguration/RecordSet.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::string_view recordsPrefix = "records/";

Record parseOrFailClosed(const RecordName& name, const RecordSet::Entry& entry)
{
    try {
        return parseRecord(name.kind, name.name, entry.json, entry.revision);
    } catch (const Error&) {
        return { name.kind, name.name, entry.revision, parseUnknownRecord(0, entry.json) };
    }
}

} // namespace

std::optional<RecordName> parseRecordKey(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    if (!key.starts_with(recordsPrefix))
        return std::nullopt;
    key.remove_prefix(recordsPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos || slash + 1 == key.size() || !isRecordKind(key.substr(0, slash)))
        return std::nullopt;
    return RecordName { std::string(key.substr(0, slash)), std::string(key.substr(slash + 1)) };
}

std::string recordKey(std::string_view prefix, const RecordName& name)
{
    return fmt::format("{}{}{}/{}", prefix, recordsPrefix, name.kind, name.name);
}

RecordSet::RecordSet(std::string prefix)
    : prefix_(std::move(prefix))
{
}

void RecordSet::reset(Revision revision)
{
    entries_.clear();
    revision_ = revision;
}

void RecordSet::apply(const std::string& key, const std::optional<std::string>& json, Revision revision)
{
    if (!parseRecordKey(prefix_, key))
        return;
    if (json)
        entries_.insert_or_assign(key, Entry { *json, revision });
    else
        entries_.erase(key);
    lastChange_ = std::max(lastChange_, revision);
    advance(revision);
}

void RecordSet::advance(Revision revision)
{
    if (revision > revision_)
        revision_ = revision;
}

SnapshotPointer RecordSet::compile(const std::set<std::string>& excludedKeys) const
{
    std::vector<Record> records;
    records.reserve(entries_.size());
    for (const auto& [key, entry] : entries_) {
        if (excludedKeys.contains(key))
            continue;
        if (const auto name = parseRecordKey(prefix_, key))
            records.push_back(parseOrFailClosed(*name, entry));
    }
    return std::make_shared<const Snapshot>(revision_, records, lastChange_);
}

} // namespace Ibisturn
