#pragma once

#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/Quarantine/CrashEvidence.h>
#include <LibDecision/Streams/StreamNote.h>

#include <optional>
#include <vector>

namespace Ibisturn {

/// How complete the sender's view of the store is.
enum class StoreView : std::uint8_t {
    /// Complete: entries that are missing have been removed.
    Complete,
    /// The sender can't reach the store either, or could not until a moment ago.
    Partial,
};

/// Numbers the messages of one process to others; a later one supersedes the earlier ones.
using StatusNumber = Quantity<struct StatusNumberTag, std::uint64_t>;

/// An instance that is shutting down.
struct LeavingInstance {
    InstanceId instance;
    Incarnation incarnation;
};

/// What an instance reports to the collectors of its region.
struct InstanceReport {
    Incarnation incarnation;
    StatusNumber number;
    MemberState state { MemberState::Live };
    Duration uptime {};
    /// Time since a digest of the receiver last arrived; unset if none has.
    std::optional<Duration> lastDigestAgo;
    std::vector<AllowanceDemand> demands;
    std::vector<InstanceLoad> loads;
    CrashEvidence evidence;
    /// What the sender has noted lately.
    std::vector<StreamNote> notes {};
    /// The newest of the sender's reports to the receiver that was answered by a digest; zero if none was. Unset if the sender is of an
    /// earlier version, which does not take notes.
    std::optional<StatusNumber> confirmedDigest {};
};

/// The sums over the instances of one region, as one collector knows them.
struct RegionDigest {
    RegionId region;
    /// How many instances the sums contain: those that reach the collector and are reached by it.
    std::uint32_t instances { 0 };
    /// The shortest uptime among them.
    Duration uptime {};
    std::vector<AllowanceDemand> demands;
    std::vector<RegionWaitEstimate> waitEstimates;
    std::vector<LeavingInstance> leaving;
    /// Instances that report although the store has lost their entries.
    std::vector<InstanceId> unlisted;
    CrashEvidence evidence;
};

/// Whether a sender follows the store itself, and how current its copy is.
struct StoreFeedStatus {
    bool isFollowing { false };
    /// Time since the store last confirmed that the copy is current; unset if it never has.
    std::optional<Duration> age;
    /// The revision up to which the sender has all changes, for each followed prefix.
    std::vector<Revision> positions;
};

/// A collector's answer to a report.
struct FleetDigest {
    /// The receiver's newest report that the loads contain.
    StatusNumber report;
    /// Whether the other sums contain that report, too.
    bool isCounted { false };
    RegionDigest own;
    /// The sums of the loads of all instances of the region, by backend server.
    std::vector<InstanceLoad> loads;
    /// The digests of the other regions whose collectors reach this one, and are reached by it.
    std::vector<RegionDigest> others;
    StoreFeedStatus store;
    /// Those of all instances that reached the sender after its digest that the receiver has confirmed.
    std::vector<StreamNote> notes {};
};

/// What the collectors of two regions send each other.
struct RegionExchange {
    Incarnation incarnation;
    StatusNumber number;
    /// Whether it answers an exchange of the receiver, and so is not answered itself.
    bool isReply { false };
    /// Time since an exchange of the receiver last arrived; unset if none has.
    std::optional<Duration> lastReceivedAgo;
    RegionDigest digest;
    /// Those of the sender's region that reached it after its exchange that the receiver has confirmed.
    std::vector<StreamNote> notes {};
    /// The newest exchange of the receiver that has arrived; zero if none has.
    StatusNumber confirmedExchange {};
};

/// A request for the store's changes, or the answer to one.
struct StoreUpdate {
    /// Requests the changes after these revisions, one for each followed prefix. Empty in an answer.
    std::vector<Revision> requestAfter;
    std::vector<RecordChange> changes;
    /// The sender's positions, up to which `changes` are all changes.
    std::vector<Revision> positions;
    /// How complete the sender's view is; unset in a request.
    std::optional<StoreView> view;
    /// The numbers of the prefixes of which the sender may not know all removals after the requested revisions, and all keys that
    /// exist below these.
    std::vector<std::uint32_t> listedPrefixes;
    std::vector<std::string> existingKeys;
};

struct SendReport {
    InstanceId peer;
    InstanceReport report;
};

struct SendDigest {
    InstanceId peer;
    FleetDigest digest;
};

struct SendExchange {
    InstanceId peer;
    RegionExchange exchange;
};

struct SendStoreUpdate {
    InstanceId peer;
    StoreUpdate update;
};

} // namespace Ibisturn
