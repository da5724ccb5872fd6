#include <LibDecision/Claims/ClaimId.h>

#include <LibCore/Digest.h>

namespace Ibisturn {

std::string claimStoreKey(const ClaimId& id)
{
    return "claims/" + digestOfContent(id.workspace.value()) + "/" + digestOfContent(id.key.value());
}

} // namespace Ibisturn
