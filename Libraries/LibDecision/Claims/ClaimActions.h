#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibDecision/Claims/ClaimRecord.h>

#include <variant>
#include <vector>

namespace Ibisturn {

/// Confirm the dispatch by ClaimTable::confirmDispatch() and run the attempt's request.
struct DispatchAttempt {
    ClaimAttemptId attempt;
    ClaimId id;
};

/// Answer the attempt with the answer of the claim's run.
struct AnswerAttempt {
    ClaimAttemptId attempt;
    StoredAnswer answer;
};

/// Refuse the attempt. `ran` No holds for this attempt for ever.
struct RefuseAttempt {
    ClaimAttemptId attempt;
    ResultCode code { ResultCode::OutcomeUnknown };
    Ran ran { Ran::Unknown };
};

/// Hand the attempt to the claim's owner, which knows what became of it. Where the owner can't be reached the
/// outcome is unknown.
struct AskOwner {
    ClaimAttemptId attempt;
    ClaimOwner owner;
};

/// One key's write in a batch; it takes effect only while the key is at `expected`, zero meaning absent.
struct ClaimWrite {
    ClaimId id;
    ClaimRecord record;
    Revision expected;
};

/// Write the batch as one transaction, all or nothing, and report what became of it.
struct WriteClaims {
    ClaimBatchId batch;
    std::vector<ClaimWrite> writes;
};

using ClaimAction = std::variant<DispatchAttempt, AnswerAttempt, RefuseAttempt, AskOwner, WriteClaims>;
using ClaimActions = std::vector<ClaimAction>;

/// A claim as the store holds it. A record that can't be read is null.
struct PresentClaim {
    ClaimId id;
    Revision revision;
    std::optional<ClaimRecord> record;
};

/// The transaction took effect.
struct BatchWritten {
    Revision revision;
};

/// Nothing was written, since one key or more was not as expected. Lists the keys that are there.
struct BatchConflicted {
    std::vector<PresentClaim> present;
};

/// Nothing was written and nothing will be.
struct BatchRefused {
};

/// The reply was lost; the batch may have taken effect, or may still do so.
struct BatchLost {
};

using BatchResult = std::variant<BatchWritten, BatchConflicted, BatchRefused, BatchLost>;

} // namespace Ibisturn
