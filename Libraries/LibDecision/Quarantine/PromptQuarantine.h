#pragma once

#include <LibDecision/Placement/PlacementQuery.h>
#include <LibDecision/Quarantine/CrashEvidence.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Ibisturn {

/// Finds prompt parts on which backend servers crash, so that requests with them are refused before they reach another server.
/// A server that crashes takes all its requests with it, most of them harmless. A part is suspected if servers were lost when
/// they began to answer requests that contain it, and no request with it has been answered since. If several servers are lost
/// at about the same time, that counts only against a part that the requests of most of them have in common. Each instance sees only some
/// of the requests, so the instances share their evidence. The last part of a prompt belongs to its request alone and is
/// never suspected.
/// Thread safety: one thread at a time.
class PromptQuarantine {
public:
    /// The connection to a backend server broke before it had answered a request, or right after it had begun to.
    void onServerLost(TimePoint now, const BackendServerId& server, StartTime started, const PlacementQuery& query);

    /// A backend server answered a request completely.
    void onAnswered(TimePoint now, const PlacementQuery& query);

    /// Adds evidence of other instances. Evidence that is known already has no effect.
    void onEvidence(TimePoint now, const CrashEvidence& evidence);

    /// The evidence of this instance, for the others.
    CrashEvidence ownEvidence(TimePoint now) const;

    /// Quarantines the parts that the evidence convicts, and returns those that were not quarantined before. Expires what is old.
    std::vector<ServicePart> advance(TimePoint now);

    /// A quarantine was written to the store, or deleted there.
    void onStored(TimePoint now, const ServicePart& part);
    void onDeleted(const ServicePart& part);

    /// The store has lost a quarantine by coming back from an older copy. It stays in force and is due to be written again.
    void onLost(TimePoint now, const ServicePart& part);

    /// The quarantined part that the request contains, if any. Extends the quarantine, since such requests still arrive.
    std::optional<ServicePart> findQuarantined(TimePoint now, const PlacementQuery& query);

    /// Whether a request that failed may be sent to another backend server: it has not lost two already, nor has any of its parts.
    bool mayRetry(const PlacementQuery& query) const;

    /// The quarantines that should be written to the store now: the store does not have them, or will drop them although requests
    /// with these parts still arrive. Returns each again after some time, unless onStored() was called.
    std::vector<ServicePart> takeDueWrites(TimePoint now);

    /// The backend servers that were lost, and how long ago, for the log.
    std::string describeCrashes(TimePoint now, const ServicePart& part) const;

    std::size_t size() const { return quarantined_.size(); }

    /// How long the store should keep a quarantine.
    static constexpr Duration quarantineTime = std::chrono::minutes(10);

private:
    using ServerProcess = std::pair<BackendServerId, StartTime>;

    struct Crash {
        ServerProcess server;
        std::uint64_t request { 0 };
        TimePoint at {};
        bool isOwn { false };
    };
    struct Answer {
        TimePoint at {};
        /// When this instance itself last saw one; unset if only others did.
        std::optional<TimePoint> ownAt;
    };
    struct Quarantine {
        TimePoint until {};
        TimePoint nextWriteAt {};
    };

    void addCrash(const ServicePart& part, const Crash& crash);
    void addAnswer(const ServicePart& part, TimePoint at);
    void addOwnAnswer(const ServicePart& part, TimePoint at);
    bool isConvicted(TimePoint now, const ServicePart& part, const std::vector<Crash>& crashes) const;
    std::size_t lossesToConvict(const ServicePart& part) const;
    std::size_t independentLosses(const std::vector<Crash>& crashes) const;
    bool isExplained(const ServicePart& part, const std::vector<Crash>& crashes) const;
    bool explainsLosses(TimePoint time, const std::vector<Crash>& crashes) const;

    /// By part, in the order of time.
    std::map<ServicePart, std::vector<Crash>> crashes_;
    /// When the servers were lost, whatever the prompts of their requests.
    std::map<ServerProcess, TimePoint> lostServers_;
    /// Answers to requests with suspected parts.
    std::map<ServicePart, Answer> answers_;
    /// When this instance last saw an answer to a request with the part, suspected or not.
    std::map<ServicePart, TimePoint> recentAnswers_;
    std::map<ServicePart, Quarantine> quarantined_;
};

} // namespace Ibisturn
