#include <LibPlatform/PeerUpdateRequests.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Short compared with the seconds within which a withdrawn key must stop working, even if some of the queried peers have
/// no new changes.
constexpr Duration requestInterval = std::chrono::milliseconds(500);
/// An answer without changes is small. Three requests at a time find a peer that has the changes within a second while the
/// store is unavailable to a third of the instances.
constexpr std::size_t peersPerRequest = 3;

} // namespace

std::vector<InstanceId> PeerUpdateRequests::next(TimePoint now, bool isStoreUnavailable, const std::vector<const Member*>& others)
{
    if (!isStoreUnavailable || now < nextRequestAt_)
        return {};
    std::vector<const Member*> candidates;
    std::copy_if(others.begin(), others.end(), std::back_inserter(candidates), [](const Member* member) { return member->state != MemberState::Suspected; });
    if (candidates.empty())
        candidates = others;
    if (candidates.empty())
        return {};
    nextRequestAt_ = now + requestInterval;
    std::vector<InstanceId> selected;
    for (std::size_t count = std::min(peersPerRequest, candidates.size()); count > 0; --count)
        selected.push_back(candidates[requestCount_++ % candidates.size()]->id);
    return selected;
}

} // namespace Ibisturn
