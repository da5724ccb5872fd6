#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Routing/RequestHead.h>

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

/// Whether the residency rule of `workspace` permits its data in `region`. The empty workspace permits every region; one whose
/// rule is missing or has an unknown schema version permits none. Thread safety: any thread.
bool isPermittedRegion(const Snapshot& snapshot, const WorkspaceId& workspace, const RegionId& region);

} // namespace Ibisturn
