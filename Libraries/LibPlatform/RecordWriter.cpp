#include <LibPlatform/RecordWriter.h>

#include <LibCore/Error.h>
#include <LibKernel/Pause.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr int maxAttempts = 8;
constexpr Duration retryDelay = std::chrono::milliseconds(250);

std::optional<ChangeResult> finalResult(const ChangePlan& plan)
{
    if (const auto* applied = std::get_if<ChangeApplied>(&plan))
        return ChangeResult { ResultCode::Ok, "", applied->revision, {} };
    if (const auto* refused = std::get_if<ChangeRefused>(&plan))
        return ChangeResult { refused->code, refused->reason, Revision(0), refused->current };
    return std::nullopt;
}

} // namespace

RecordWriter::RecordWriter(StoreClient& store, std::string prefix)
    : store_(store)
    , prefix_(std::move(prefix))
{
}

Task<ChangeResult> RecordWriter::write(ChangeRequest request)
{
    bool isOutcomeUnknown = false;
    for (int attempts = 0; attempts < maxAttempts; ++attempts) {
        if (attempts > 0)
            co_await pause(retryDelay);
        const std::optional<ChangeResult> result = co_await attempt(request, isOutcomeUnknown);
        if (result)
            co_return *result;
    }
    if (isOutcomeUnknown)
        throw Error(ResultCode::WriteOutcomeUnknown, Ran::No, "The store's reply was lost and the change could not be read back");
    throw Error(ResultCode::StoreUnavailable, Ran::No, "The store did not accept the change");
}

// One round of reading, planning and writing. Returns no result if it must be retried: the next plan then detects the
// change if it took effect, and the conflict check on the head prevents a delayed first write from following a second one.
Task<std::optional<ChangeResult>> RecordWriter::attempt(const ChangeRequest& request, bool& isOutcomeUnknown)
{
    bool isSent = false;
    try {
        const std::vector<StoredEntry> stored = co_await readStored(request);
        const ChangePlan plan = planChange(prefix_, stored, request);
        if (std::optional<ChangeResult> result = finalResult(plan))
            co_return result;
        std::vector<StoreWrite> writes;
        for (const auto& write : std::get<ChangeReady>(plan).writes)
            writes.push_back({ write.key, write.value, write.expected });
        isSent = true;
        const StoreWriteResult result = co_await store_.transact(std::move(writes));
        if (result.outcome == WriteOutcome::Written)
            co_return ChangeResult { ResultCode::Ok, "", result.revision, {} };
    } catch (const Error& error) {
        isOutcomeUnknown = isOutcomeUnknown || (isSent && error.code() == ResultCode::WriteOutcomeUnknown);
    }
    co_return std::nullopt;
}

Task<ChangeResult> RecordWriter::check(ChangeRequest request)
{
    const std::vector<StoredEntry> stored = co_await readStored(request);
    const ChangePlan plan = planChange(prefix_, stored, request);
    const std::optional<ChangeResult> result = finalResult(plan);
    co_return result.value_or(ChangeResult {});
}

Task<std::vector<HistoryEntry>> RecordWriter::history(RecordName name)
{
    const std::string key = historyKey(prefix_, name);
    const StoreRange range = co_await store_.range(key);
    for (const auto& entry : range.entries) {
        if (entry.key == key)
            co_return parseHistory(entry.value);
    }
    co_return std::vector<HistoryEntry> {};
}

Task<std::vector<StoredEntry>> RecordWriter::readStored(const ChangeRequest& request)
{
    std::vector<StoredEntry> stored;
    // The histories are read last: a write of this change that takes effect between the two reads then shows up in them
    // and is not mistaken for another operator's.
    std::string recordsPrefix = prefix_ + "records/";
    const StoreRange records = co_await store_.range(std::move(recordsPrefix));
    const bool isSingle = request.edits.size() == 1;
    std::string historiesPrefix = isSingle ? historyKey(prefix_, request.edits.front().name) : prefix_ + "history/";
    const StoreRange histories = co_await store_.range(std::move(historiesPrefix));
    for (const auto* range : { &histories, &records }) {
        for (const auto& entry : range->entries)
            stored.push_back({ entry.key, entry.value, entry.revision });
    }
    co_return stored;
}

} // namespace Ibisturn
