#include <LibDecision/Requests/RequestAccess.h>

#include <LibDecision/Routing/HeadDecision.h>

namespace Ibisturn {

ResultCode decideAccess(const Snapshot& snapshot, const RegionId& here, const RequestAccess& access)
{
    if (access.key) {
        const auto* key = snapshot.findKey(*access.key);
        if (!key && snapshot.hasUnknownSchema("keys", access.key->value()))
            return ResultCode::RecordSchemaUnknown;
        if (!key || key->workspace != access.workspace)
            return ResultCode::KeyUnknown;
    }
    if (!isPermittedRegion(snapshot, access.workspace, here))
        return ResultCode::ResidencyRefused;
    return ResultCode::Ok;
}

} // namespace Ibisturn
