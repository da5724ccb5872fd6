#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibHTTP/Requests/InstanceTables.h>

#include <optional>

namespace Ibisturn {

/// What is known of the session's prompt parts on the chosen backend server.
struct SessionPlace {
    /// The rank of the backend server for the session, from 0; nullopt if it has none among the first.
    std::optional<std::size_t> rank;
    /// The tokens that count as cached although this instance did not send them.
    TokenCount assumedTokens;
};

/// Logs the decisions on one request on a route with a policy, and the reasons for them. Failures and retries are always
/// logged, ordinary successes only for a sample of requests, which is the same on all instances.
/// Thread safety: the worker of the request.
class RequestLog {
public:
    /// Precondition: `tables` outlives the log.
    RequestLog(const InstanceTables& tables, const GatewayRequest& request);

    /// The next places are chosen with `homeRegions`, under the configuration `revision`.
    void setRules(TimePoint now, const HomeRegions& homeRegions, Revision revision);

    /// A place was chosen; `expected` is the time until the first part of the answer, `coldLeft` for how much longer the
    /// backend server is cold. Requests to cold backend servers are always logged.
    /// `session` says what is assumed of its prompt there.
    void logPlace(TimePoint now, const Place& place, Duration expected, std::uint32_t attempt, Duration coldLeft = {}, const SessionPlace& session = {});

    /// No place was found.
    void logRefusal(TimePoint now, const RefusePlacement& refusal);

    /// The request is refused because its prompt contains a quarantined part.
    void logQuarantine(TimePoint now, const ServicePart& part);

    /// An attempt failed. `willRetry` is whether the request is retried.
    void logFailure(TimePoint now, const Place& place, const Error& error, RanProof proof, bool willRetry);

    /// An answer was cut because it exceeded a bound.
    void logBoundExceeded(const Place& place, const Error& error);

    /// The answer ended and is complete.
    void logEnd(TimePoint now, const Place& place, std::optional<TimePoint> firstPart);

private:
    std::string storeState(TimePoint now) const;

    const InstanceTables& tables_;
    std::string request_;
    std::string route_;
    std::string service_;
    WorkspaceId workspace_;
    /// The configuration under which the request was accepted, and the one under which its places are chosen.
    Revision revision_;
    Revision revisionInForce_;
    HomeRegions homeRegions_;
    TimePoint startedAt_;
    bool isRouted_ { false };
    bool isSampled_ { false };
};

} // namespace Ibisturn
