#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibCore/Revision.h>
#include <LibDecision/Claims/ClaimRecord.h>

#include <variant>
#include <vector>

namespace Ibisturn {

/// Confirm the dispatch with ClaimTable::confirmDispatch(), then run the attempt's request.
struct DispatchAttempt {
    ClaimAttemptId attempt;
    ClaimId id;
};

/// Answer the attempt with the stored answer of the claim's run.
struct AnswerAttempt {
    ClaimAttemptId attempt;
    StoredAnswer answer;
};

/// Refuse the attempt. `ran` No is final: this attempt will never run.
struct RefuseAttempt {
    ClaimAttemptId attempt;
    ResultCode code { ResultCode::OutcomeUnknown };
    Ran ran { Ran::Unknown };
};

/// Forward the attempt to the claim's owner, which has the outcome. If the owner is unreachable, the outcome is
/// unknown.
struct ForwardToOwner {
    ClaimAttemptId attempt;
    ClaimOwner owner;
};

/// The write of one key in a batch, conditional on the key's revision being `expected`; zero means absent.
struct ClaimWrite {
    ClaimId id;
    ClaimRecord record;
    Revision expected;
};

/// Write the batch as one atomic transaction and report its result.
struct WriteClaims {
    ClaimBatchId batch;
    std::vector<ClaimWrite> writes;
};

using ClaimAction = std::variant<DispatchAttempt, AnswerAttempt, RefuseAttempt, ForwardToOwner, WriteClaims>;
using ClaimActions = std::vector<ClaimAction>;

/// A claim that exists in the store. The record is null if it can't be decoded.
struct PresentClaim {
    ClaimId id;
    Revision revision;
    std::optional<ClaimRecord> record;
};

/// The transaction took effect.
struct BatchWritten {
    Revision revision;
};

/// Nothing was written, since at least one key was not at its expected revision. Lists the keys that exist.
struct BatchConflicted {
    std::vector<PresentClaim> present;
};

/// Nothing was written, and the transaction can no longer take effect.
struct BatchRefused {
};

/// The reply was lost; the transaction may have taken effect, or may still do so.
struct BatchReplyLost {
};

using BatchResult = std::variant<BatchWritten, BatchConflicted, BatchRefused, BatchReplyLost>;

} // namespace Ibisturn
