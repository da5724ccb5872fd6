#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>
#include <LibCore/Revision.h>
#include <LibDecision/Membership/MembershipView.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// A change of one record at a revision of the store; no value means that the record was deleted.
struct RecordChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision;
};

enum class UpdateKind : std::uint8_t {
    /// The changes after one revision up to and including another.
    Delta,
    /// Every record at a revision; a record that is not in it was deleted.
    Full,
};

/// The changes that bring an instance's records from one revision to a later one.
struct ConfigurationUpdate {
    UpdateKind kind { UpdateKind::Delta };
    /// The revision that a delta starts after.
    Revision from;
    Revision to;
    std::vector<RecordChange> changes;
};

/// The withdrawal of a key that may not be in the store yet. It can only restrict access: it applies to the revision of the
/// record that the operator read, and to no later one.
struct EmergencyWithdrawal {
    /// The record's key in the store.
    std::string key;
    /// The revision of the record that the operator read.
    Revision expected;
    /// The change's id, the operator's name and the time, as in ChangeRequest.
    std::string id;
    std::string who;
    std::string when;
};

enum class Readiness : std::uint8_t {
    /// The instance has started, and its records may be older than the configuration that was in force.
    Starting,
    /// The instance serves requests with its records.
    Ready,
    /// The instance was paused and checks for changes that it missed.
    Rechecking,
};

enum class HeartbeatKind : std::uint8_t {
    /// The receiver replies immediately.
    Request,
    Reply,
};

enum class UpdateRequest : std::uint8_t {
    /// Send the changes if they are still in the log.
    Delta,
    /// Send every record if the changes are no longer in the log.
    Full,
};

/// The state that an instance reports to a peer. Times are on the sender's clock; the receiver only returns them as an echo.
struct ControlHeartbeat {
    HeartbeatKind kind { HeartbeatKind::Request };
    Incarnation incarnation;
    TimePoint sentAt {};
    /// The receiver's incarnation and sending time, from the last heartbeat that the sender received from it; zero for none.
    Incarnation echoIncarnation;
    TimePoint echo {};
    /// The revision in force, or noRevision.
    Revision revision;
    /// The records in force matched the store at most this long ago; negative if unknown.
    Duration storeAge { -1 };
    Readiness readiness { Readiness::Starting };
    UpdateRequest updateRequest { UpdateRequest::Delta };
    MemberState state { MemberState::Live };
    std::vector<EmergencyWithdrawal> withdrawals;
};

/// The revision of an instance without records.
constexpr Revision noRevision { -1 };

} // namespace Ibisturn
