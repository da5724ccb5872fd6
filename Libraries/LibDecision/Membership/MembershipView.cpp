#include <LibDecision/Membership/MembershipView.h>

#include <algorithm>

namespace Ibisturn {

const Member* MembershipView::find(const InstanceId& id) const
{
    const auto found = std::find_if(instances.begin(), instances.end(), [&id](const Member& member) { return member.id == id; });
    return found == instances.end() ? nullptr : &*found;
}

} // namespace Ibisturn
