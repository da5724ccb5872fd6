#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibHTTP/Requests/InstanceTables.h>

#include <optional>

namespace Ibisturn {

/// Writes the decisions on one request on a route with terms to the log, with what decided them. Those of an ordinary
/// success are written for a sample of requests, which all instances agree on; failures and what led to them always.
/// Thread safety: the worker of the request.
class RequestJournal {
public:
    /// Precondition: `tables` outlives the journal.
    RequestJournal(const InstanceTables& tables, const GatewayRequest& request);

    /// A place was chosen; `expected` is the time until the first part of the answer.
    void notePlace(TimePoint now, const Place& place, Duration expected, std::uint32_t attempt);

    /// No place was found for `ask`.
    void noteRefusal(TimePoint now, const RefusePlacement& refusal, const PlacementQuery& ask);

    /// An attempt failed, and the request goes on or ends.
    void noteFailure(TimePoint now, const Place& place, const Error& error, RanProof proof, bool goesOn);

    /// The answer ended whole.
    void noteEnd(TimePoint now, const Place& place, std::optional<TimePoint> firstPart);

private:
    std::string storeState(TimePoint now) const;

    const InstanceTables& tables_;
    std::string request_;
    std::string route_;
    std::string service_;
    WorkspaceId workspace_;
    Revision revision_;
    TimePoint begunAt_;
    bool isRouted_ { false };
    bool isSampled_ { false };
};

} // namespace Ibisturn
