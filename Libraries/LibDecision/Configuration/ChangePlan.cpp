#include <LibDecision/Configuration/ChangePlan.h>

#include <LibConfiguration/RecordCheck.h>
#include <LibConfiguration/RecordHead.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr std::size_t maxHistoryEntries = 8;

std::string formatHistory(const std::vector<HistoryEntry>& history)
{
    auto list = nlohmann::json::array();
    for (const auto& entry : history) {
        auto record = entry.json ? nlohmann::json(*entry.json) : nlohmann::json(nullptr);
        list.push_back({ { "id", entry.id }, { "who", entry.who }, { "when", entry.when }, { "record", std::move(record) } });
    }
    return nlohmann::json { { "changes", std::move(list) } }.dump();
}

/// Plans one change against the contents of the store.
class Planner {
public:
    Planner(const std::string& prefix, const std::vector<StoredEntry>& stored, const ChangeRequest& request)
        : prefix_(prefix)
        , request_(request)
    {
        for (const auto& entry : stored)
            stored_[entry.key] = &entry;
    }

    ChangePlan plan() const
    {
        if (isApplied())
            return ChangeApplied { revisionOfApplied() };
        if (auto refusal = refuseMalformed())
            return *refusal;
        if (auto refusal = refuseConflict())
            return *refusal;
        if (auto refusal = refuseInvalid())
            return *refusal;
        return makeWrites();
    }

private:
    const StoredEntry* find(const std::string& key) const
    {
        const auto found = stored_.find(key);
        return found == stored_.end() ? nullptr : found->second;
    }

    Revision revisionOf(const std::string& key) const
    {
        const auto* entry = find(key);
        return entry ? entry->revision : Revision(0);
    }

    std::vector<HistoryEntry> historyOf(const RecordName& name) const
    {
        const auto* entry = find(historyKey(prefix_, name));
        return entry ? parseHistory(entry->value) : std::vector<HistoryEntry> {};
    }

    // All edits are written in one transaction, so checking one history is sufficient.
    bool isApplied() const
    {
        const auto history = historyOf(request_.edits.front().name);
        return std::any_of(history.begin(), history.end(), [this](const auto& entry) { return entry.id == request_.id; });
    }

    // Record and history are written in one transaction, but the record may have been read before it.
    Revision revisionOfApplied() const
    {
        const auto& name = request_.edits.front().name;
        const bool isLatest = historyOf(name).front().id == request_.id;
        return revisionOf(isLatest ? historyKey(prefix_, name) : recordKey(prefix_, name));
    }

    std::optional<ChangeRefused> refuseMalformed() const
    {
        if (request_.edits.size() > maxEdits)
            return ChangeRefused { ResultCode::RecordInvalid, fmt::format("A change has at most {} records", maxEdits), {} };
        std::set<std::string> keys;
        for (const auto& edit : request_.edits) {
            const auto key = recordKey(prefix_, edit.name);
            if (!keys.insert(key).second)
                return ChangeRefused { ResultCode::RecordInvalid, fmt::format("{}/{}: appears in the change twice", edit.name.kind, edit.name.name), {} };
        }
        return std::nullopt;
    }

    std::optional<ChangeRefused> refuseConflict() const
    {
        ChangeRefused refusal { ResultCode::RevisionConflict, "Another write changed the record first", {} };
        bool isConflict = false;
        for (const auto& edit : request_.edits) {
            const auto key = recordKey(prefix_, edit.name);
            isConflict = isConflict || revisionOf(key) != edit.expected;
            if (const auto* entry = find(key))
                refusal.current.push_back(*entry);
            else if (!edit.json && edit.expected == Revision(0))
                return ChangeRefused { ResultCode::RecordNotFound, "There is no such record", {} };
        }
        return isConflict ? std::optional(refusal) : std::nullopt;
    }

    std::optional<ChangeRefused> refuseInvalid() const
    {
        std::vector<Record> before;
        std::vector<Record> after;
        std::set<std::string> edited;
        for (const auto& edit : request_.edits)
            edited.insert(recordKey(prefix_, edit.name));
        for (const auto& [key, entry] : stored_) {
            const auto name = parseRecordKey(prefix_, key);
            if (!name)
                continue;
            before.push_back(readStored(*name, *entry));
            if (!edited.contains(key))
                after.push_back(before.back());
        }
        try {
            for (const auto& edit : request_.edits) {
                if (edit.json)
                    after.push_back(readEdit(edit));
            }
        } catch (const Error& error) {
            return ChangeRefused { error.code(), error.what(), {} };
        }
        return refuseNewProblems(checkRecords(before), checkRecords(after));
    }

    static Record readStored(const RecordName& name, const StoredEntry& entry)
    {
        try {
            return parseRecord(name.kind, name.name, entry.value, entry.revision);
        } catch (const Error&) {
            return { name.kind, name.name, entry.revision, UnknownRecord {} };
        }
    }

    static Record readEdit(const RecordEdit& edit)
    {
        auto record = parseRecord(edit.name.kind, edit.name.name, *edit.json, Revision(0));
        if (std::holds_alternative<UnknownRecord>(record.body))
            throw Error(ResultCode::RecordInvalid, Ran::No, fmt::format("{}/{}: schema version is not supported by this instance", edit.name.kind, edit.name.name));
        return record;
    }

    static std::optional<ChangeRefused> refuseNewProblems(const std::vector<RecordProblem>& before, const std::vector<RecordProblem>& after)
    {
        std::vector<RecordProblem> added;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(added));
        if (added.empty())
            return std::nullopt;
        std::string reason;
        for (const auto& problem : added)
            reason += (reason.empty() ? "" : "; ") + problem.toString();
        return ChangeRefused { ResultCode::RecordInvalid, reason, {} };
    }

    ChangeReady makeWrites() const
    {
        ChangeReady ready;
        for (const auto& edit : request_.edits) {
            ready.writes.push_back({ recordKey(prefix_, edit.name), edit.json, edit.expected });
            auto history = historyOf(edit.name);
            history.insert(history.begin(), { request_.id, request_.who, request_.when, edit.json });
            history.resize(std::min(history.size(), maxHistoryEntries));
            const auto key = historyKey(prefix_, edit.name);
            ready.writes.push_back({ key, formatHistory(history), revisionOf(key) });
        }
        // Every change also writes the head, so a concurrent change of any record conflicts: the set that was checked is the
        // set that is changed.
        const auto headKey = recordHeadKey(prefix_);
        ready.writes.push_back({ headKey, formatRecordHead({ configurationRevision() }), revisionOf(headKey) });
        return ready;
    }

    Revision configurationRevision() const
    {
        Revision revision(0);
        for (const auto& [key, entry] : stored_) {
            if (key == recordHeadKey(prefix_) || parseRecordKey(prefix_, key))
                revision = std::max(revision, entry->revision);
        }
        return revision;
    }

    const std::string& prefix_;
    const ChangeRequest& request_;
    std::map<std::string, const StoredEntry*> stored_;
};

} // namespace

std::string historyKey(std::string_view prefix, const RecordName& name)
{
    return fmt::format("{}history/{}/{}", prefix, name.kind, name.name);
}

std::vector<HistoryEntry> parseHistory(std::string_view text)
{
    std::vector<HistoryEntry> history;
    try {
        const auto json = nlohmann::json::parse(text);
        for (const auto& entry : json.at("changes")) {
            HistoryEntry change { entry.at("id"), entry.at("who"), entry.at("when"), {} };
            if (!entry.at("record").is_null())
                change.json = entry.at("record").get<std::string>();
            history.push_back(std::move(change));
        }
    } catch (const nlohmann::json::exception&) {
        return {};
    }
    return history;
}

ChangePlan planChange(const std::string& prefix, const std::vector<StoredEntry>& stored, const ChangeRequest& request)
{
    return Planner(prefix, stored, request).plan();
}

} // namespace Ibisturn
