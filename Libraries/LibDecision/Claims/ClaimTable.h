#pragma once

#include <LibDecision/Claims/BatchRateLimiter.h>
#include <LibDecision/Claims/ClaimActions.h>
#include <LibDecision/Claims/IssuedKeyTable.h>

#include <deque>
#include <map>
#include <optional>

namespace Ibisturn {

enum class ClaimScope : std::uint8_t {
    /// A caller's request: claim the key if no instance has.
    ClaimIfUnclaimed,
    /// A request forwarded to the owner by a peer: only claims that this instance made are considered.
    OwnClaimsOnly,
};

/// One request to run under a claim.
struct ClaimAttempt {
    ClaimAttemptId attempt;
    ClaimId id;
    std::string bodyDigest;
    ClaimScope scope { ClaimScope::ClaimIfUnclaimed };
};

/// How a run dispatched by this instance ended without a complete answer.
struct RunFailure {
    ResultCode code { ResultCode::OutcomeUnknown };
    Ran ran { Ran::Unknown };
};

/// Decides which non-idempotent requests one incarnation of an instance may dispatch, so that each claim runs at
/// most once in the whole deployment. A claim is a record that its owner created in the store. It is never taken
/// over, so only the owner's own clock matters. A key issued by this instance needs no record.
/// Thread safety: one thread at a time.
class ClaimTable {
public:
    /// Precondition: `self` is unique among all processes, past and future.
    ClaimTable(ClaimOwner self, ClaimLimits limits);

    /// Starts an attempt for a request. Precondition: its attempt id is new.
    ClaimActions begin(TimePoint now, const ClaimAttempt& attempt);

    /// Called immediately before dispatch. False means that the dispatch window has passed: the attempt must not run, and
    /// fail() has to be called with Ran::No. Precondition: DispatchAttempt was returned for `id` and not yet confirmed.
    bool confirmDispatch(TimePoint now, const ClaimId& id);

    /// The run ended with a complete answer; nullopt if the answer was too large to store.
    /// Precondition: the dispatch was confirmed.
    ClaimActions finish(TimePoint now, const ClaimId& id, std::optional<StoredAnswer> answer);

    /// The run ended without a complete answer. With Ran::No a retry may run it. The attempt that ran it gets its
    /// failure from the run itself. Precondition: DispatchAttempt was returned for `id`; `failure` has Ran::No unless
    /// the dispatch was confirmed.
    ClaimActions fail(TimePoint now, const ClaimId& id, RunFailure failure);

    /// Handles the store's reply to a batch, or its loss. Replies to unknown batches are ignored.
    ClaimActions onBatchReply(TimePoint now, ClaimBatchId batch, const BatchResult& result);

    /// Abandons claims that waited too long and writes what is due. To be called every few milliseconds.
    ClaimActions tick(TimePoint now);

    /// Issues a key that only this incarnation of the instance may run, even while the store is unavailable.
    IdempotencyKey issueKey(const WorkspaceId& workspace) { return issuedKeys_.issue(workspace); }

    /// The number of claims in memory.
    std::size_t size() const { return entries_.size(); }

    /// Whether nothing is waiting for the store.
    bool isIdle() const { return queue_.empty() && batches_.empty() && pending_ == 0; }

private:
    enum class State : std::uint8_t {
        /// Waiting for its record to be written to the store.
        Claiming,
        /// May be dispatched by the attempt that got DispatchAttempt.
        Granted,
        Running,
        Finished,
        Unknown,
        /// Possibly claimed by this instance, and not dispatched: a later attempt may claim it again.
        Abandoned,
    };

    struct Entry {
        State state { State::Abandoned };
        ClaimNumber number;
        std::string bodyDigest;
        /// Last known revision of the record in the store; zero if there is none yet.
        Revision revision;
        std::vector<ClaimAttemptId> waiters;
        std::optional<StoredAnswer> answer;
        /// When the oldest write was sent that may have created the current record.
        std::optional<TimePoint> firstWriteAt;
        bool isIssued { false };
        /// The reply to a write was lost, so the record may be in the store.
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
    ClaimActions addWaiter(Entry& entry, const ClaimAttempt& attempt) const;
    ClaimActions claim(TimePoint now, Entry& entry, const ClaimAttempt& attempt);
    Entry& insert(const ClaimAttempt& attempt);
    bool evictToLimit();
    void evictOldest();
    void endClaiming(Entry& entry, State next);
    void settle(const ClaimId& id, Entry& entry, State state);
    void enqueue(const ClaimId& id, Entry& entry);
    ClaimActions grant(const ClaimId& id, Entry& entry);
    ClaimActions abandon(const ClaimId& id, Entry& entry, RunFailure failure);
    ClaimActions abandonOverdue(TimePoint now);
    ClaimActions flush(TimePoint now);
    std::optional<ClaimWrite> makeWrite(TimePoint now, const ClaimId& id);
    ClaimActions onWritten(TimePoint now, const ClaimWrite& write, Revision revision);
    ClaimActions onConflicted(TimePoint now, const ClaimWrite& write, const PresentClaim* present);
    ClaimActions onOwnRecord(TimePoint now, const ClaimWrite& write, Entry& entry, const PresentClaim& present);
    ClaimActions onForeignRecord(const ClaimId& id, const PresentClaim& present);
    ClaimActions onFailed(const ClaimWrite& write, bool mayBeInStore);
    ClaimAction resolveForeign(ClaimAttemptId attempt, const std::string& bodyDigest, const PresentClaim& present) const;
    bool isWithinDispatchWindow(TimePoint now, const Entry& entry) const;
    Entry* find(const ClaimWrite& write);

    ClaimOwner self_;
    ClaimLimits limits_;
    BatchRateLimiter rateLimiter_;
    IssuedKeyTable issuedKeys_;
    Entries entries_;
    std::deque<ClaimId> queue_;
    /// Claims waiting for the store.
    std::size_t pending_ { 0 };
    std::map<ClaimBatchId, std::vector<ClaimWrite>> batches_;
    std::deque<Deadline> deadlines_;
    /// Settled claims, oldest first, which may be evicted: the store then has the outcome, and an issued key is no
    /// longer among the unused ones.
    std::deque<ClaimId> settled_;
    std::uint64_t lastBatch_ { 0 };
    std::uint64_t lastNumber_ { 0 };
};

} // namespace Ibisturn
