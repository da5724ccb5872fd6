#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Placement/PlacementAsk.h>
#include <LibDecision/Placement/PromptCacheGuess.h>
#include <LibDecision/Registry/BackendRegistry.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

namespace Ibisturn {

/// Names one request that was placed on a backend server by this instance.
using PlacementId = Quantity<struct PlacementTag, std::uint64_t>;

/// Run the request on this backend server of the own region.
struct PlaceOnServer {
    BackendServerId server;
    /// The time until the first part of the answer that is expected.
    Duration expected {};
};

/// Hand the request to an instance of this region.
struct PlaceInRegion {
    RegionId region;
    Duration expected {};
};

/// No place can serve the request in time; it has not run.
struct PlaceNowhere {
    ResultCode code { ResultCode::NoBackendServer };
    /// When it is worth coming back.
    Duration retryAfter {};
    /// What the best place would have taken; nothing if there was none.
    std::optional<Duration> expected;
};

using PlacementDecision = std::variant<PlaceOnServer, PlaceInRegion, PlaceNowhere>;

/// What a backend server said of its load in an answer.
struct ServerLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
};

/// How a request on a backend server ended.
enum class PlacementOutcome : std::uint8_t {
    Answered,
    /// The backend server refused it for lack of room and did not run it.
    Full,
    /// No connection could be made.
    Unreachable,
    /// Another backend server has its address.
    Replaced,
    /// The connection broke, or the answer was cut or wrong.
    Failed,
    /// Nothing can be said: the caller left, for example.
    Unknown,
};

/// What an instance has on one backend server, for the other instances of the region.
struct OwnLoad {
    BackendServerId server;
    std::uint32_t requests { 0 };
    /// Prompt tokens that are not read yet, of requests with priority 0, and of all.
    TokenCount urgentBacklog;
    TokenCount backlog;
    /// Tokens of all its requests, which fill the engine's memory.
    TokenCount held;
};

/// How long a request for a service would wait in a region.
struct RegionOutlook {
    ServiceId service;
    Duration urgentWait {};
    Duration wait {};
    /// Engine time that a token of a prompt costs there.
    double millisecondsPerToken { 0 };
};

/// How a PlacementTable decides.
struct PlacementLimits {
    /// The round trip to another region and back, before any is measured.
    Duration regionRoundTrip { std::chrono::milliseconds(130) };
    /// What a region must be quicker by, so that small differences send nothing abroad.
    Duration regionMargin { std::chrono::milliseconds(60) };
    /// What other instances said of themselves is used for this long.
    Duration reportLifetime { std::chrono::milliseconds(1500) };
    /// The time from the arrival at an idle engine to the first token of an empty prompt, before any is measured.
    Duration firstToken { std::chrono::milliseconds(60) };
    /// Engine time that a token of a prompt costs, before any is measured.
    double millisecondsPerToken { 0.015 };
    /// What engine time spent on reading weighs against time that the request waits: others wait for it too.
    double readingWeight { 3 };
    /// The share of an engine's memory that may be promised to running requests.
    double memoryShare { 0.9 };
    /// The share of an engine's memory that keeps parts of prompts.
    double cacheShare { 0.6 };
    /// Failures in a row after which a backend server that can be reached is left alone.
    std::uint32_t failuresToPause { 3 };
    /// A failed backend server is left alone for this long at first, and for twice as long after each further failure.
    Duration firstPause { std::chrono::milliseconds(250) };
    Duration longestPause { std::chrono::milliseconds(2000) };
    /// One whose address another one has is left alone for this long, unless it registers anew.
    Duration replacedPause { std::chrono::milliseconds(5000) };
    /// A request that waits for its first part this much longer than expected shows that its backend server hangs.
    Duration overdue { std::chrono::milliseconds(400) };
    /// A backend server that refused for lack of room is left alone for this long.
    Duration fullPause { std::chrono::milliseconds(60) };
    /// A request may be expected this much later than its target, as a share of the time that it has until then.
    double lateness { 0.5 };
    /// The part of a service's bound on connections that all instances together use.
    double connectionShare { 0.9 };
};

/// Decides which backend server of the region runs a request, or which other region: the one from which the first part
/// of the answer is expected first, by what is known of prompts kept, of work under way here and at the other instances,
/// and of failures. It answers peaks that a region can't serve alone, and backend servers that fail or are cold.
/// Thread safety: one thread at a time.
class PlacementTable {
public:
    explicit PlacementTable(RegionId here, PlacementLimits limits = {});

    /// Sets the backend servers that may be used, in all regions.
    void setServers(const std::vector<BackendState>& servers, const Snapshot& snapshot);

    /// Sets the instances of the own region that are live, this one included, and this one's id.
    void setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion);

    /// Takes in what another instance of the region has on the backend servers.
    void onPeerLoad(TimePoint now, const InstanceId& from, const std::vector<OwnLoad>& loads);

    /// Takes in what an instance of another region expects there.
    void onOutlook(TimePoint now, const RegionId& region, const std::vector<RegionOutlook>& outlooks);

    /// Chooses a place. Nothing is reserved.
    PlacementDecision place(TimePoint now, const PlacementAsk& ask);

    /// Notes that a request goes to a backend server or to another region.
    PlacementId begin(TimePoint now, const BackendServerId& server, const PlacementAsk& ask);
    void noteSent(const RegionId& region, const PlacementAsk& ask);

    /// Notes the first part of an answer.
    void onFirstPart(TimePoint now, PlacementId id);

    /// Notes a backend server's word on its load.
    void onServerLoad(TimePoint now, const BackendServerId& server, const ServerLoad& load);

    /// Notes the end of a request. Unknown ids are ignored.
    void end(TimePoint now, PlacementId id, PlacementOutcome outcome);

    /// The usable backend server of this region with this id, or null.
    const BackendState* findServer(const BackendServerId& id) const;

    /// What this instance has under way.
    std::vector<OwnLoad> ownLoads() const;

    /// What is to be expected in this region.
    std::vector<RegionOutlook> outlooks(TimePoint now) const;

    /// The connections that this instance may have to a backend server.
    std::uint32_t mostConnections(const BackendServerId& server) const;

private:
    struct Backlog {
        TokenCount urgent;
        TokenCount all;
        TokenCount held;
        std::uint32_t requests { 0 };
    };

    struct PeerLoad {
        TimePoint at;
        Backlog load;
    };

    struct Server {
        BackendState state;
        std::optional<EngineTraits> engine;
        double coldRate { 0 };
        std::uint32_t mostConnections { 0 };
        Backlog own;
        std::map<InstanceId, PeerLoad> peers;
        PromptCacheGuess cache;
        TimePoint pausedUntil {};
        std::uint32_t failures { 0 };
        /// How much slower than expected its first parts come.
        double slowness { 1 };
        TimePoint nextCold {};
    };

    struct Placed {
        BackendServerId server;
        Backlog load;
        bool hasStarted { false };
        TimePoint sentAt;
        Duration expected {};
        TokenCount toRead;
    };

    struct Outlook {
        TimePoint at;
        RegionOutlook outlook;
    };

    struct RegionState {
        std::map<ServiceId, Outlook> outlooks;
        std::map<ServiceId, std::uint32_t> servers;
        PromptCacheGuess cache;
    };

    /// A place with the time until the first part of the answer that is expected of it, and what choosing it costs in all.
    struct Candidate {
        Server* server { nullptr };
        const RegionId* region { nullptr };
        Duration wait {};
        Duration cost {};
    };

    /// A backend server of any region.
    struct Place {
        BackendServerId server;
        RegionId region;
    };

    bool mayRunIn(const PlacementAsk& ask, const RegionId& region) const;
    bool mayUse(TimePoint now, const Server& server, const PlacementAsk& ask) const;
    bool isColdOwner(const Server& server) const;
    Backlog totalOn(TimePoint now, const Server& server) const;
    Duration overdueOn(TimePoint now, const Server& server) const;
    Duration waitOn(TimePoint now, const Server& server, const PlacementAsk& ask, TokenCount toRead) const;
    TokenCount toRead(const PromptCacheGuess& cache, bool isHome, const PlacementAsk& ask) const;
    TokenCount toRead(const Server& server, const PlacementAsk& ask, const Place* home) const;
    const Place* sessionHome(const PlacementAsk& ask) const;
    Duration costOf(Duration wait, TokenCount toRead, double millisecondsPerToken) const;
    std::optional<Candidate> bestHere(TimePoint now, const PlacementAsk& ask, const Place* home);
    std::optional<Candidate> bestElsewhere(TimePoint now, const PlacementAsk& ask, const Place* home);
    PlaceNowhere refuse(const PlacementAsk& ask, ResultCode code, Duration wait, std::optional<Duration> expected = std::nullopt) const;

    RegionId here_;
    PlacementLimits limits_;
    InstanceId self_;
    std::vector<InstanceId> instances_;
    std::map<BackendServerId, Server> servers_;
    std::map<ServiceId, std::vector<BackendServerId>> byService_;
    /// All usable backend servers of a service, in all regions.
    std::map<ServiceId, std::vector<Place>> places_;
    std::map<RegionId, RegionState> regions_;
    std::unordered_map<std::uint64_t, Placed> placed_;
    std::uint64_t lastPlaced_ { 0 };
    /// Engine time of a token of a prompt, and of the first token, as measured.
    double millisecondsPerToken_;
};

} // namespace Ibisturn
