#pragma once

#include <LibDecision/Claims/BatchPacer.h>
#include <LibDecision/Claims/ClaimActions.h>
#include <LibDecision/Claims/IssuedKeyTable.h>

#include <deque>
#include <map>
#include <optional>

namespace Ibisturn {

enum class ClaimScope : std::uint8_t {
    /// A caller's request: claim it if nobody has.
    MayClaim,
    /// A peer asks the owner: only what this instance claimed itself counts.
    OwnClaimsOnly,
};

/// One request that wants to run under a claim.
struct ClaimAttempt {
    ClaimAttemptId attempt;
    ClaimId id;
    std::string bodyDigest;
    ClaimScope scope { ClaimScope::MayClaim };
};

/// How a run that this instance dispatched ended without a whole answer.
struct RunFailure {
    ResultCode code { ResultCode::OutcomeUnknown };
    Ran ran { Ran::Unknown };
};

/// Decides for one life of an instance which non-idempotent requests it may dispatch, so that each claim runs
/// at most once in the whole deployment. A claim is a record that its owner created in the store; nobody ever
/// takes it over, so no clock but the owner's own matters. A key that this instance issued needs no record.
/// Thread safety: one thread at a time.
class ClaimTable {
public:
    /// Precondition: no other process ever has or had the same `self`.
    ClaimTable(ClaimOwner self, ClaimLimits limits);

    /// A request came. Precondition: its attempt id is new.
    ClaimActions begin(TimePoint now, const ClaimAttempt& attempt);

    /// Called at the moment of dispatch; false means that it came too late: the attempt must not run, and fail()
    /// has to follow with Ran::No. Precondition: DispatchAttempt was returned for `id` and not confirmed yet.
    bool confirmDispatch(TimePoint now, const ClaimId& id);

    /// The run ended with a whole answer; nothing if the answer was too large to keep.
    /// Precondition: the dispatch was confirmed.
    ClaimActions finish(TimePoint now, const ClaimId& id, std::optional<StoredAnswer> answer);

    /// The run ended without a whole answer. With Ran::No a retry may run it. The attempt that ran it gets its
    /// failure from the run itself. Precondition: DispatchAttempt was returned for `id`; unless the dispatch was
    /// confirmed, `failure` says Ran::No.
    ClaimActions fail(TimePoint now, const ClaimId& id, RunFailure failure);

    /// The store replied to a batch, or its reply is lost. Replies to unknown batches are ignored.
    ClaimActions replied(TimePoint now, ClaimBatchId batch, const BatchResult& result);

    /// Time has passed: gives up what waited too long, writes what is due. Call it every few milliseconds.
    ClaimActions tick(TimePoint now);

    /// Issues a key that only this life of the instance may run, also while the store is away.
    IdempotencyKey issueKey(const WorkspaceId& workspace) { return issuedKeys_.issue(workspace); }

    /// The number of claims in memory.
    std::size_t size() const { return entries_.size(); }

    /// Whether anything waits for the store.
    bool isIdle() const { return queue_.empty() && batches_.empty() && pending_ == 0; }

private:
    enum class State : std::uint8_t {
        /// Waits for its record in the store.
        Claiming,
        /// May be dispatched by the attempt that was told so.
        Granted,
        Running,
        Finished,
        Unknown,
        /// Claimed here, or perhaps so, and not dispatched: a later attempt may claim it again.
        Abandoned,
    };

    struct Entry {
        State state { State::Abandoned };
        ClaimNumber number;
        std::string bodyDigest;
        /// Of the record in the store, as last seen; zero if there is none yet.
        Revision revision;
        std::vector<ClaimAttemptId> waiters;
        std::optional<StoredAnswer> answer;
        /// When the oldest write was sent that may have made the present record.
        std::optional<TimePoint> firstWrite;
        bool isIssued { false };
        /// The outcome of a write is not known.
        bool mayBeInStore { false };
        bool isQueued { false };
        bool isInFlight { false };
        bool isRecorded { false };
    };

    using Entries = std::map<ClaimId, Entry>;

    /// When the attempts that wait for a claim are refused.
    struct Deadline {
        TimePoint at;
        ClaimId id;
    };

    ClaimActions beginIssued(TimePoint now, const ClaimAttempt& attempt, const IssuedKey& key);
    ClaimActions join(TimePoint now, Entry& entry, const ClaimAttempt& attempt);
    ClaimActions wait(Entry& entry, const ClaimAttempt& attempt) const;
    ClaimActions claim(TimePoint now, Entry& entry, const ClaimAttempt& attempt);
    Entry& insert(const ClaimAttempt& attempt);
    bool makeRoom();
    void forgetOldest();
    void endClaiming(Entry& entry, State next);
    void settle(const ClaimId& id, Entry& entry, State state);
    void enqueue(const ClaimId& id, Entry& entry);
    ClaimActions grant(const ClaimId& id, Entry& entry);
    ClaimActions giveUp(const ClaimId& id, Entry& entry, RunFailure failure);
    ClaimActions giveUpOverdue(TimePoint now);
    ClaimActions flush(TimePoint now);
    std::optional<ClaimWrite> makeWrite(TimePoint now, const ClaimId& id);
    ClaimActions onWritten(TimePoint now, const ClaimWrite& write, Revision revision);
    ClaimActions onConflicted(TimePoint now, const ClaimWrite& write, const PresentClaim* present);
    ClaimActions onOwnRecord(TimePoint now, const ClaimWrite& write, Entry& entry, const PresentClaim& present);
    ClaimActions onForeignRecord(const ClaimId& id, const PresentClaim& present);
    ClaimActions onFailed(const ClaimWrite& write, bool mayBeInStore);
    ClaimAction resolveForeign(ClaimAttemptId attempt, const std::string& bodyDigest, const PresentClaim& present) const;
    bool isWithinWindow(TimePoint now, const Entry& entry) const;
    Entry* find(const ClaimWrite& write);

    ClaimOwner self_;
    ClaimLimits limits_;
    BatchPacer pacer_;
    IssuedKeyTable issuedKeys_;
    Entries entries_;
    std::deque<ClaimId> queue_;
    /// Claims that wait for the store.
    std::size_t pending_ { 0 };
    std::map<ClaimBatchId, std::vector<ClaimWrite>> batches_;
    std::deque<Deadline> deadlines_;
    /// Settled claims by age, which may be forgotten: the store, or the missing issued key, then tells.
    std::deque<ClaimId> settled_;
    std::uint64_t lastBatch_ { 0 };
    std::uint64_t lastNumber_ { 0 };
};

} // namespace Ibisturn
