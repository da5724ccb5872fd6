#include <LibPlatform/PeerWishes.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Short compared with the seconds within which a withdrawn key must stop working, even if some of the queried peers have
/// no new changes.
constexpr Duration wishPeriod = std::chrono::milliseconds(500);
/// An answer without changes is small. Three requests at a time find a peer that has the changes within a second while the
/// store is unavailable to a third of the instances.
constexpr std::size_t askedAtOnce = 3;

} // namespace

std::vector<InstanceId> PeerWishes::next(TimePoint now, bool isStoreUnavailable, const std::vector<const Member*>& others)
{
    if (!isStoreUnavailable || now < nextWish_)
        return {};
    std::vector<const Member*> candidates;
    std::copy_if(others.begin(), others.end(), std::back_inserter(candidates), [](const Member* member) { return member->state != MemberState::Suspected; });
    if (candidates.empty())
        candidates = others;
    if (candidates.empty())
        return {};
    nextWish_ = now + wishPeriod;
    std::vector<InstanceId> asked;
    for (std::size_t count = std::min(askedAtOnce, candidates.size()); count > 0; --count)
        asked.push_back(candidates[wishes_++ % candidates.size()]->id);
    return asked;
}

} // namespace Ibisturn
