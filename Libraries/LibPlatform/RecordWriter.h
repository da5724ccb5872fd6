#pragma once

#include <LibDecision/Configuration/ChangePlan.h>
#include <LibPlatform/StoreClient.h>

namespace Ibisturn {

/// The result of a change.
struct ChangeResult {
    /// Ok, RevisionConflict, RecordInvalid or RecordNotFound.
    ResultCode code { ResultCode::Ok };
    std::string reason;
    Revision revision;
    std::vector<StoredEntry> current;
};

/// Writes changes of records. After a lost reply, the records are read back, so that a change is never written twice.
/// Thread safety: one worker.
class RecordWriter {
public:
    /// Precondition: `store` outlives the writer.
    RecordWriter(StoreClient& store, std::string prefix);

    /// Checks a change against the records in the store and writes it. Throws Error with StoreUnavailable if nothing was
    /// written, and with WriteOutcomeUnknown if the outcome can't be determined; the same change may then be retried.
    Task<ChangeResult> write(ChangeRequest request);

    /// Checks a change without writing it.
    Task<ChangeResult> check(ChangeRequest request);

    /// The history of a record, the latest change first.
    Task<std::vector<HistoryEntry>> history(RecordName name);

private:
    Task<std::vector<StoredEntry>> readStored(const ChangeRequest& request);
    Task<std::optional<ChangeResult>> attempt(const ChangeRequest& request, bool& isOutcomeUnknown);

    StoreClient& store_;
    std::string prefix_;
};

} // namespace Ibisturn
