#pragma once

#include <LibDecision/Configuration/SnapshotAdopter.h>
#include <LibKernel/Asio.h>
#include <LibPeer/ControlMessages.h>

#include <vector>

namespace Ibisturn {

/// Handles the messages that peers send on control connections.
class ControlReceiver {
public:
    virtual ~ControlReceiver() = default;

    /// Handles an event from the instance `from` and returns the replies to send on the same connection.
    /// Thread safety: any worker.
    virtual Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) = 0;
};

} // namespace Ibisturn
