#pragma once

#include <LibDecision/Dissemination/CollectorChoice.h>
#include <LibDecision/Dissemination/StatusMessages.h>
#include <LibDecision/Streams/StreamNoteLog.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <variant>

namespace Ibisturn {

/// The state of this instance that others need to know.
struct LocalStatus {
    MemberState state { MemberState::Live };
    Duration uptime {};
    std::vector<AllowanceDemand> demands;
    std::vector<InstanceLoad> loads;
    std::vector<RegionWaitEstimate> waitEstimates;
    StoreFeedStatus store;
    CrashEvidence evidence;
    /// Notes of the last moments; each of them has to be part of several reports.
    std::vector<StreamNote> notes {};
    /// Instances whose entries the store has lost, whether they still run or not.
    std::vector<InstanceId> withoutEntry;
};

/// What an instance knows of the others.
struct FleetStatus {
    struct Region {
        /// Without this instance.
        RegionDigest digest;
        /// Since when, at the latest, the instances of the digest know this one's demand; unset if they may not.
        std::optional<TimePoint> acknowledgedAt;
    };

    /// When it was received.
    TimePoint receivedAt {};
    /// This region first, unless nothing is known of it.
    std::vector<Region> regions;
    /// The loads of the other instances of this region.
    std::vector<InstanceLoad> loads;
};

/// Exchanges the status of all instances of a fleet at a cost to each that does not grow with their number. Every instance
/// reports to two collectors of its region, which answer with the sums over all reports; the collectors of different regions
/// exchange their sums. Nobody is elected: whoever receives reports answers them, and an instance uses the answer that covers
/// the most instances. Sums contain only instances that reach the collector and are reached by it, so that both sides of a
/// failed link leave each other out.
/// Thread safety: one thread at a time.
class StatusExchange {
public:
    using Message = std::variant<SendReport, SendDigest, SendExchange>;
    using Messages = std::vector<Message>;

    /// `localStatus` is called when a message is made. The first message is sent at `start` or later.
    StatusExchange(InstanceId self, RegionId region, Incarnation incarnation, std::function<LocalStatus(TimePoint)> localStatus, TimePoint start = {});

    /// Sets the instances of the fleet, including this one.
    void setMembers(const MembershipView& membership);

    /// Returns the messages that are due. Should be called several times per period.
    Messages advance(TimePoint now);

    /// Sends the next report at once, because this instance is leaving.
    void reportSoon() { nextReportAt_ = {}; }

    /// Handle messages of other instances and return the answers, or nullopt if a message is refused: it contradicts an
    /// earlier one, is out of order, comes from an instance that may not send it, or contains impossible numbers.
    std::optional<Messages> onReport(TimePoint now, const InstanceId& from, const InstanceReport& report);
    std::optional<Messages> onDigest(TimePoint now, const InstanceId& from, const FleetDigest& digest);
    std::optional<Messages> onExchange(TimePoint now, const InstanceId& from, const RegionExchange& exchange);

    /// What is known of the other instances.
    FleetStatus status(TimePoint now);

    /// The notes of other instances that have arrived since the last call, whatever collector they came from.
    std::vector<StreamNote> takeNotes(TimePoint now) { return noteLog_.takeNew(now); }

    /// The notes of this region's instances, including this one, that have arrived since the last call, and lately before the first one.
    std::vector<StreamNote> takeRegionNotes(TimePoint now);

    /// When this instance sent the report that a digest answers, and before which the digest was not made; unset if the report is
    /// no longer known.
    std::optional<TimePoint> reportSentAt(const FleetDigest& digest) const;

    /// Changes whenever status() may have changed.
    std::uint64_t version() const { return version_; }

    /// The position of this instance in the ranking of its region's collectors, from 0.
    std::size_t rank() const { return rank_; }

    /// The position of `instance`, in the ranking of this region's collectors, or the number of candidates.
    std::size_t rankOf(const InstanceId& instance) const;

    /// The period of reports with the present number of instances.
    Duration period() const;

private:
    struct Process {
        Incarnation incarnation;
        StatusNumber newest;
        /// Earlier processes of the instance, whose delayed messages are refused.
        std::set<Incarnation> ended;
    };
    struct ReceivedReport {
        TimePoint receivedAt;
        InstanceReport report;
    };
    struct SentReport {
        StatusNumber number;
        TimePoint sentAt;
        std::vector<AllowanceDemand> demands;
        std::vector<InstanceLoad> loads;
    };
    struct ReceivedDigest {
        TimePoint receivedAt;
        FleetDigest digest;
    };
    struct ReceivedExchange {
        TimePoint receivedAt;
        RegionExchange exchange;
    };
    /// The notes that were sent to one process of an instance.
    struct Receiver {
        Incarnation incarnation;
        NoteDeliveries deliveries;
        std::optional<TimePoint> sentAt;
    };
    /// Which report of an instance the sums contain.
    struct Included {
        StatusNumber report;
        bool isCounted { false };
    };
    /// The sums over this instance and those that report to it.
    struct Collected {
        LocalStatus local;
        std::map<InstanceId, Included> included;
        RegionDigest own;
        std::vector<InstanceLoad> loads;
        std::vector<RegionDigest> others;
    };

    bool isInOwnRegion(const InstanceId& instance) const;
    std::size_t sizeOf(const RegionId& region) const;
    void limitInstances(RegionDigest& digest) const;
    bool accept(const InstanceId& from, Incarnation incarnation, StatusNumber number);
    bool isCounted(TimePoint now, const ReceivedReport& received) const;
    const Collected& collect(TimePoint now);
    std::vector<RegionDigest> bestExchanges(TimePoint now) const;
    FleetStatus statusFromReports(TimePoint now);
    std::optional<FleetStatus> statusFromDigest(const ReceivedDigest& received) const;
    SendExchange makeExchange(TimePoint now, const InstanceId& peer, bool isReply);
    std::vector<StreamNote> notesForDigest(TimePoint now, const InstanceId& peer, const InstanceReport& report, StatusNumber answered);
    std::vector<StreamNote> notesForExchange(TimePoint now, const InstanceId& peer, StatusNumber number, bool isReply);
    Duration exchangePeriod() const;
    void sendReports(TimePoint now, Messages& messages);
    void sendExchanges(TimePoint now, Messages& messages);

    InstanceId self_;
    RegionId region_;
    Incarnation incarnation_;
    std::function<LocalStatus(TimePoint)> localStatus_;
    std::map<InstanceId, RegionId> regionOf_;
    std::map<RegionId, std::size_t> sizes_;
    std::vector<InstanceId> ranked_;
    std::size_t rank_ { 0 };
    /// The collectors of this region, without this instance, and of the other regions.
    CollectorChoice ownCollectors_;
    std::map<RegionId, CollectorChoice> otherCollectors_;
    TimePoint nextReportAt_;
    TimePoint nextExchangeAt_;
    StatusNumber lastNumber_;
    std::uint64_t version_ { 0 };
    std::map<InstanceId, Process> processes_;
    std::map<InstanceId, ReceivedReport> reports_;
    std::deque<SentReport> sentReports_;
    std::map<InstanceId, ReceivedDigest> digests_;
    std::map<InstanceId, ReceivedExchange> exchanges_;
    StreamNoteLog noteLog_;
    /// The notes before this position were returned by takeRegionNotes().
    StreamNoteLog::Position takenRegionNotes_ { 0 };
    std::map<InstanceId, Receiver> digestReceivers_;
    std::map<InstanceId, Receiver> exchangeReceivers_;
    Collected collected_;
    TimePoint collectedAt_ {};
};

} // namespace Ibisturn
