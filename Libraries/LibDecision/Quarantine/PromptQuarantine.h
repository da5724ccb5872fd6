#pragma once

#include <LibDecision/Placement/PlacementQuery.h>
#include <LibDecision/Quarantine/CrashEvidence.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// Finds prompt parts on which backend servers crash, so that requests with them are refused before they reach another server.
/// A server that crashes takes all its requests with it, most of them harmless. A part is suspected if servers were lost when
/// they began to answer requests that contain it, and no request with it has been answered since. Each instance sees only some
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

    /// The quarantined part that the request contains, if any. Extends the quarantine, since such requests still arrive.
    std::optional<ServicePart> findQuarantined(TimePoint now, const PlacementQuery& query);

    /// Whether a request that failed may be sent to another backend server: none of its parts is strongly suspected.
    bool mayRetry(const PlacementQuery& query) const;

    /// The quarantines in use that the store will soon have dropped, and that should be written again. Each is returned once.
    std::vector<ServicePart> takeExpiring(TimePoint now);

    std::size_t size() const { return quarantined_.size(); }

    /// How long the store should keep a quarantine.
    static constexpr Duration quarantineTime = std::chrono::minutes(10);

private:
    struct Crash {
        BackendServerId server;
        StartTime started;
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
        /// When the store was last seen to hold it; unset if it does not, as far as known.
        std::optional<TimePoint> storedAt;
    };

    void addCrash(const ServicePart& part, const Crash& crash);
    void addAnswer(const ServicePart& part, TimePoint at);
    static bool isConvicted(TimePoint now, const std::vector<Crash>& crashes);
    static std::size_t serversLost(const std::vector<Crash>& crashes);

    std::map<ServicePart, std::vector<Crash>> crashes_;
    std::map<ServicePart, Answer> answers_;
    std::map<ServicePart, Quarantine> quarantined_;
};

} // namespace Ibisturn
