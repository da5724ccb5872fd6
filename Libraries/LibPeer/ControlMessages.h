#pragma once

#include <LibDecision/Configuration/SnapshotAdopter.h>
#include <LibPeer/Frame.h>

#include <optional>

namespace Ibisturn {

/// A message that a peer sent on a control connection, converted to the types of LibDecision.
using ControlEvent = std::variant<ControlHeartbeat, ConfigurationUpdate, StoreUpdate, InstanceReport, FleetDigest, RegionExchange>;

/// Encodes an action as a frame's message. Thread safety: any thread.
PeerMessage toPeerMessage(const PeerAction& action);

/// Decodes a frame's message; returns nothing if it is not a control message. Throws Error with MalformedFrame if a field
/// is out of range. Thread safety: any thread.
std::optional<ControlEvent> toControlEvent(const PeerMessage& message);

} // namespace Ibisturn
