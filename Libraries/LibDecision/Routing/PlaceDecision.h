#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/Clock.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Routing/RoutingStrategy.h>

#include <functional>
#include <variant>

namespace Ibisturn {

/// Run the request on a backend server of this data centre.
struct RunHere {
    BackendServerId backendServer;
};

/// Forward the request to an instance of another data centre, which runs or refuses it.
struct ForwardTo {
    InstanceId instance;
};

/// Refuse the request; it has not run.
struct RefuseRequest {
    ResultCode code;
    /// When the caller should retry; zero if unknown.
    Duration retryAfter {};
};

using Place = std::variant<RunHere, ForwardTo, RefuseRequest>;

enum class HopsLeft : std::uint8_t {
    /// The request came from a peer: run it or refuse it.
    None,
    /// The request came from a caller: one hop to another instance is allowed.
    One,
};

/// The inputs of decidePlace().
struct PlaceQuery {
    const Snapshot& snapshot;
    const MembershipView& membership;
    const InstanceIdentity& here;
    const WorkspaceId& workspace;
    const Route& route;
    HopsLeft hops { HopsLeft::One };
    std::uint64_t requestHash { 0 };
    /// Number of requests in flight on a backend server.
    std::function<std::uint32_t(const BackendServerId&)> outstanding;
};

/// The route that serves `path` and `model`, or null. Thread safety: any thread.
const Route* findRouteFor(const Snapshot& snapshot, std::string_view path, const ModelName& model);

/// Whether `workspace` may use `route`. Thread safety: any thread.
bool canUseRoute(const Route& route, const WorkspaceId& workspace);

/// Decides where a request runs: only in regions that its workspace permits, in this data centre if it has a
/// backend server, otherwise one hop away. Thread safety: that of the strategy.
Place decidePlace(const PlaceQuery& query, RoutingStrategy& strategy);

} // namespace Ibisturn
