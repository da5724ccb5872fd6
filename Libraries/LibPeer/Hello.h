#pragma once

#include <LibConfiguration/Settings.h>
#include <LibPeer/Frame.h>

namespace Ibisturn {

/// Builds the hello message of the instance `identity`. Thread safety: any thread.
inline HelloMessage makeHelloMessage(const InstanceIdentity& identity)
{
    return { identity.instance.value(), identity.region.value(), identity.dataCentre.value(), 0 };
}

} // namespace Ibisturn
