#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Routing/RequestHead.h>

#include <optional>
#include <vector>

namespace Ibisturn {

/// Whether a request's body may be taken in here.
struct HeadVerdict {
    ResultCode code { ResultCode::Ok };
    /// The workspace that the key belongs to; empty for a request without a key on an open route.
    WorkspaceId workspace;
};

/// Decides on the head alone, so that an instance outside the permitted regions never reads the body.
/// Thread safety: any thread.
HeadVerdict decideHead(const Snapshot& snapshot, const RegionId& here, const RequestHead& head);

/// The regions that may serve requests of `workspace` on a route with terms: those that both permit; nothing if neither
/// is bound to regions. Thread safety: any thread.
std::optional<std::vector<RegionId>> homesFor(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route);

/// The regions where the requests of every route of `host` that has homes may run; none if no route of it has homes.
/// Thread safety: any thread.
std::optional<std::vector<RegionId>> homesAt(const Snapshot& snapshot, std::string_view host);

/// Whether `workspace` permits its data in `region`. The empty workspace permits every region; one whose
/// rule is missing or of an unknown schema version permits none. Thread safety: any thread.
bool isPermittedRegion(const Snapshot& snapshot, const WorkspaceId& workspace, const RegionId& region);

} // namespace Ibisturn
