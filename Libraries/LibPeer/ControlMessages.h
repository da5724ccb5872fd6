#pragma once

#include <LibDecision/Configuration/SnapshotAdopter.h>
#include <LibPeer/Frame.h>

#include <optional>

namespace Ibisturn {

/// What an instance may tell a peer on a control connection, in the terms of decisions.
using ControlEvent = std::variant<ControlHeartbeat, ConfigurationUpdate, PeerStatus>;

/// The frame's message for an action. Thread safety: any thread.
PeerMessage toPeerMessage(const PeerAction& action);

/// The event in a frame's message; nothing if it is not one of control. Throws Error with MalformedFrame if a field is
/// out of range. Thread safety: any thread.
std::optional<ControlEvent> toControlEvent(const PeerMessage& message);

} // namespace Ibisturn
