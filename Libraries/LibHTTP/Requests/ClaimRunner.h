#pragma once

#include <LibHTTP/Requests/ClaimService.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>

#include <functional>

namespace Ibisturn {

/// The ways in which a claimed request may go on.
struct ClaimedPaths {
    /// Runs the request, here or one hop away, and writes its answer. Throws Error.
    std::function<Task<void>(AnswerSink&)> run;
    /// Hands the request to the claim's owner and writes what that answers. Throws Error; PeerUnreachable if the
    /// owner can't be reached.
    std::function<Task<void>(InstanceId, AnswerSink&)> askOwner;
};

/// Whether two requests are the same one for their idempotency key. Thread safety: any thread.
std::string digestOfRequest(const GatewayRequest& request);

/// Runs one request under its claim, or answers it from the run that there was. Throws Error.
/// Precondition: `service` outlives the coroutine, and `request` has an idempotency key.
/// Thread safety: any worker.
Task<void> runUnderClaim(ClaimService& service, const GatewayRequest& request, ClaimScope scope, ClaimedPaths paths, AnswerSink& sink);

} // namespace Ibisturn
