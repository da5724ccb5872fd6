#pragma once

#include <LibDecision/Streams/StreamBinding.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Whether the request resumes a stream on a route with a policy that permits it.
bool isStreamResumption(const GatewayRequest& request);

/// Waits until it is known which software version began the stream that a caller's request resumes, and binds the request to that
/// version and its service. Throws Error with StreamOriginUnknown if that does not become known, and with the reason of a cancellation; the
/// request has not run then. Precondition: isStreamResumption(), and `tables` outlives the coroutine. Thread safety: the first worker.
Task<void> bindToStreamOrigin(InstanceTables& tables, SnapshotPointer snapshot, GatewayRequest& request);

/// Throws Error with StreamOriginUnknown if a forwarded request resumes a stream and its sender, an instance of an older version of
/// ibisturn, does not say which software version began it. Thread safety: any thread.
void requireStreamVersion(const GatewayRequest& request);

/// The binding of a request before its first attempt. Thread safety: any thread.
StreamBinding streamBindingOf(const GatewayRequest& request);

/// Notes the origin of a stream whose first event the instance that the caller called is about to relay. Does nothing if `version` is
/// empty. Thread safety: the first worker.
void recordStreamOrigin(InstanceTables& tables, const GatewayRequest& request, const SoftwareVersion& version);

} // namespace Ibisturn
