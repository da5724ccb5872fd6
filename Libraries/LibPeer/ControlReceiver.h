#pragma once

#include <LibDecision/Configuration/SnapshotAdopter.h>
#include <LibKernel/Asio.h>
#include <LibPeer/ControlMessages.h>

#include <vector>

namespace Ibisturn {

/// Takes what peers say on control connections.
class ControlReceiver {
public:
    virtual ~ControlReceiver() = default;

    /// Takes in an event from the instance `from` and returns the answers to it, for the connection it came on.
    /// Thread safety: any worker.
    virtual Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) = 0;
};

} // namespace Ibisturn
