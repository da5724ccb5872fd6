#pragma once

#include <LibDecision/Configuration/ChangePlan.h>
#include <LibPlatform/StoreClient.h>

namespace Ibisturn {

/// What became of a change.
struct ChangeResult {
    /// Ok, RevisionConflict, RecordInvalid or RecordNotFound.
    ResultCode code { ResultCode::Ok };
    std::string reason;
    Revision revision;
    std::vector<StoredEntry> current;
};

/// Writes changes of records. A lost reply is resolved by reading back, so a change is never written twice.
/// Thread safety: one worker.
class RecordWriter {
public:
    /// Precondition: `store` outlives the writer.
    RecordWriter(StoreClient& store, std::string prefix);

    /// Checks a change against the records in the store and writes it. Throws Error with StoreUnavailable if nothing was
    /// written and with WriteOutcomeUnknown if that can't be known; the same change may then be written again.
    Task<ChangeResult> write(ChangeRequest request);

    /// Checks a change and writes nothing.
    Task<ChangeResult> check(ChangeRequest request);

    /// The history of a record, the latest change first.
    Task<std::vector<HistoryEntry>> history(RecordName name);

private:
    Task<std::vector<StoredEntry>> readStored(const ChangeRequest& request);
    Task<std::optional<ChangeResult>> attempt(const ChangeRequest& request, bool& isInDoubt);

    StoreClient& store_;
    std::string prefix_;
};

} // namespace Ibisturn
