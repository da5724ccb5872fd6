#pragma once

#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Placement/ColdServerLocks.h>
#include <LibPlatform/StoreClient.h>

#include <optional>
#include <string>

namespace Ibisturn {

/// Keeps this instance's entry in the store under a lease while the instance runs.
/// Thread safety: one worker.
class InstanceLease {
public:
    /// The entry's key is below `prefix`. Precondition: `store` outlives the lease.
    InstanceLease(StoreClient& store, std::string prefix, Member self);

    /// Keeps the entry until leave() or the end of the event loop.
    Task<void> run();

    /// Removes the entry.
    Task<void> leave();

    /// How long after its last renewal the store keeps what is written under the lease.
    static constexpr Duration leaseTerm = std::chrono::milliseconds(4500);

    /// The lease; unset if there is none, or if the store has lost it by coming back from an older copy.
    std::optional<LeaseId> lease() const;

    /// The term of the lease, and until when the store certainly keeps what is written under it; unset without a lease, and once the
    /// instance is leaving.
    std::optional<LockTerm> term() const;

    /// When the store last answered a call for the lease; unset if it never has.
    const std::optional<TimePoint>& answeredAt() const { return answeredAt_; }

private:
    Task<void> writeEntry();
    Task<void> renew();

    StoreClient& store_;
    std::string key_;
    Member self_;
    std::optional<LeaseId> lease_;
    LockTermId term_;
    TimePoint termEnd_ {};
    std::optional<TimePoint> answeredAt_;
    bool isLeaving_ { false };
};

/// Formats the value of an instance's entry. Thread safety: any thread.
std::string formatMember(const Member& member);

/// Parses the value of an instance's entry; unset if it is invalid. Thread safety: any thread.
std::optional<Member> parseMember(std::string_view value);

} // namespace Ibisturn
