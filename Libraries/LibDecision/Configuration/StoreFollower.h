#pragma once

#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace Ibisturn {

using StoreCallId = Quantity<struct StoreCallTag, std::uint64_t>;

/// Read every record and the head.
struct ReadStore {
    StoreCallId call;
};

/// Read the head alone.
struct ReadHead {
    StoreCallId call;
};

/// Watch the records' changes after the store revision `after`, replacing any existing watch.
struct WatchStore {
    StoreCallId call;
    Revision after;
};

/// End the watch.
struct StopWatch {
};

using StoreAction = std::variant<ReadStore, ReadHead, WatchStore, StopWatch>;

enum class StoreInterest : std::uint8_t {
    /// Changes are received from peers.
    None,
    /// Read once at start.
    Read,
    /// Read, watch and compare with the head.
    Watch,
};

/// Schedules the calls to the store: it reads, watches, and compares the head with the records in force, so that a watch
/// that was lost, was compacted or skipped a change is detected.
/// Thread safety: one thread at a time.
class StoreFollower {
public:
    /// Sets what the instance needs from the store.
    void setInterest(StoreInterest interest);

    /// Returns the calls that are due.
    std::vector<StoreAction> tick(TimePoint now);

    /// A call was answered. Each returns whether the answer is valid. Precondition of onRead(): the caller adopts the records.
    bool onRead(StoreCallId call, Revision position);
    bool onHead(TimePoint now, StoreCallId call, Revision head, Revision inForce);
    bool onWatched(StoreCallId call, Revision position);

    /// A call failed, or the watch ended.
    void onFailed(TimePoint now, StoreCallId call);

    /// Requests another read because changes are missing.
    void requireRead() { needsRead_ = true; }

    /// Start of the latest call whose answer showed that the records in force match the store.
    std::optional<TimePoint> currentAsOf() const { return currentAsOf_; }

private:
    struct Call {
        StoreCallId id;
        TimePoint startedAt;
    };

    Call startCall(TimePoint now);
    /// Pending calls of one kind, oldest first. A late answer is still accepted, but the next call does not wait for it.
    class Calls {
    public:
        void add(const Call& call);
        std::optional<Call> take(StoreCallId call);
        bool hasRecent(TimePoint now) const;

    private:
        std::deque<Call> calls_;
    };

    void recordCurrentAsOf(TimePoint at);
    void backOff(TimePoint now);

    StoreInterest interest_ { StoreInterest::None };
    std::uint64_t lastCall_ { 0 };
    Calls reads_;
    Calls headReads_;
    std::optional<Call> watch_;
    bool needsRead_ { true };
    Revision position_ { noRevision };
    std::optional<TimePoint> currentAsOf_;
    TimePoint nextRead_ {};
    TimePoint nextHeadRead_ {};
    std::uint32_t failures_ { 0 };
    /// A head that the watch had not reported when the head was read.
    std::optional<Revision> unreportedHead_;
};

} // namespace Ibisturn
