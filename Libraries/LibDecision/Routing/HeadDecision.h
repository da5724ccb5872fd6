#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Routing/RequestHead.h>

#include <optional>
#include <vector>

namespace Ibisturn {

/// Whether a request's body may be read by this instance.
struct HeadDecision {
    ResultCode code { ResultCode::Ok };
    /// The workspace that the key belongs to; empty for a request without a key on an open route.
    WorkspaceId workspace;
};

/// Authenticates the request and checks the residency rule by the head alone, so that an instance outside the permitted
/// regions never reads the body.
/// Thread safety: any thread.
HeadDecision decideHead(const Snapshot& snapshot, const RegionId& ownRegion, const RequestHead& head);

/// The regions that may serve requests of `workspace` on `route`: the intersection of the regions that each permits; nullopt
/// if neither restricts them. Thread safety: any thread.
std::optional<std::vector<RegionId>> homeRegionsFor(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route);

/// The home regions common to all routes of `host` that have home regions; nullopt if none of its routes has any.
/// Thread safety: any thread.
std::optional<std::vector<RegionId>> homeRegionsOfHost(const Snapshot& snapshot, std::string_view host);

/// Whether the residency rule of `workspace` permits its data in `region`. The empty workspace permits every region; one whose
/// rule is missing or has an unknown schema version permits none. Thread safety: any thread.
bool isPermittedRegion(const Snapshot& snapshot, const WorkspaceId& workspace, const RegionId& region);

} // namespace Ibisturn
