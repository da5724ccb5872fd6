#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>
#include <LibDecision/Membership/MembershipView.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// One record's change at a revision of the store; no value means that the record was deleted.
struct RecordChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision;
};

enum class UpdateKind : std::uint8_t {
    /// The changes after one revision up to another.
    Delta,
    /// Every record at a revision; a record that is not in it was deleted.
    Full,
};

/// What takes an instance's records from one revision to a later one.
struct ConfigurationUpdate {
    UpdateKind kind { UpdateKind::Delta };
    /// The revision that a delta starts after.
    Revision from;
    Revision to;
    std::vector<RecordChange> changes;
};

/// A key's withdrawal that the store may not have yet. It only ever narrows: it strikes the record that the operator
/// saw, and no later one.
struct EmergencyWithdrawal {
    /// The store's key of the record.
    std::string key;
    /// The revision of the record that the operator saw.
    Revision seen;
    /// The change's id, the operator's name and the time, as in ChangeRequest.
    std::string id;
    std::string who;
    std::string when;
};

enum class Readiness : std::uint8_t {
    /// The instance started and may still be behind what was in force.
    Starting,
    /// The instance serves with its records.
    Ready,
    /// The instance was paused and looks for what it missed.
    Rechecking,
};

enum class HeartbeatKind : std::uint8_t {
    /// The receiver answers at once.
    Request,
    Reply,
};

enum class UpdateWish : std::uint8_t {
    /// Send the changes if they are still known.
    Delta,
    /// Send every record if the changes are no longer known.
    Full,
};

/// What an instance tells a peer of itself. Times are the sender's own, and mean nothing to the receiver but in an echo.
struct ControlHeartbeat {
    HeartbeatKind kind { HeartbeatKind::Request };
    Incarnation incarnation;
    TimePoint sentAt {};
    /// The receiver's own incarnation and time of the last heartbeat that the sender had from it; zero for none.
    Incarnation echoIncarnation;
    TimePoint echo {};
    /// The revision in force, or noRevision.
    Revision revision;
    /// The records in force were the store's this long ago, or later; negative if that is not known.
    Duration storeAge { -1 };
    Readiness readiness { Readiness::Starting };
    UpdateWish wish { UpdateWish::Delta };
    MemberState state { MemberState::Live };
    std::vector<EmergencyWithdrawal> withdrawals;
};

/// The revision of an instance without records.
constexpr Revision noRevision { -1 };

} // namespace Ibisturn
