#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Membership/MembershipView.h>

#include <vector>

namespace Ibisturn {

/// Selects the peers from which an instance requests the store's changes while it can't reach the store: a few peers at a
/// time and others the next time, since the store may be unavailable to those as well. Suspected ones only if there are no
/// others.
/// Thread safety: one thread at a time.
class PeerUpdateRequests {
public:
    /// The instances to query now, out of `others`; none while the store is available or if the last queries were just sent.
    std::vector<InstanceId> next(TimePoint now, bool isStoreUnavailable, const std::vector<const Member*>& others);

private:
    TimePoint nextRequestAt_ {};
    std::size_t requestCount_ { 0 };
};

} // namespace Ibisturn
