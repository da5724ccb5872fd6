#pragma once

#include <LibHTTP/Requests/ClaimService.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>

#include <functional>

namespace Ibisturn {

/// The ways in which a claimed request may proceed.
struct ClaimedRequestHandlers {
    /// Runs the request, here or one hop away, and writes its answer. Throws Error.
    std::function<Task<void>(AnswerSink&)> run;
    /// Forwards the request to the owner of the claim and writes the owner's answer. Throws Error, with PeerUnreachable
    /// if the owner can't be reached.
    std::function<Task<void>(InstanceId, AnswerSink&)> forwardToOwner;
};

/// The digest by which two requests with one idempotency key count as the same request. Thread safety: any thread.
std::string digestOfRequest(const GatewayRequest& request);

/// Runs a request under its claim, or replays the answer of an earlier run. Throws Error.
/// Precondition: `service` outlives the coroutine, and `request` has an idempotency key.
/// Thread safety: any worker.
Task<void> runUnderClaim(ClaimService& service, const GatewayRequest& request, ClaimScope scope, ClaimedRequestHandlers handlers, AnswerSink& sink);

} // namespace Ibisturn
