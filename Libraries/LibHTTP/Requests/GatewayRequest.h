#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Span.h>
#include <LibDecision/Placement/PlacementQuery.h>
#include <LibDecision/Registry/RegisteredServer.h>
#include <LibDecision/Routing/HomeRegions.h>
#include <LibHTTP/Requests/Cancellation.h>
#include <LibKernel/HttpHeader.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// The additional fields of a request on a route with a policy.
struct RoutedRequest {
    RouteId route;
    /// The service that the route selected, and the configuration revision in which it did.
    ServiceId service;
    Revision revision;
    /// The regions that the configuration permitted when the request was accepted. A later one can only restrict them.
    HomeRegions homeRegions;
    /// The caller's id for this attempt. It is sent to backend servers, and their answers echo it.
    std::string callerId;
    std::string host;
    /// Headers for the backend server, as the caller sent them.
    std::vector<HttpHeader> headers;
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    TokenCount maxAnswerTokens;
    std::uint32_t priority { 0 };
    /// When the first part of the answer should arrive.
    TimePoint target;
    /// Whether the stream may be resumed on another backend server.
    ResumeSupport resume { ResumeSupport::Unsupported };
    /// The attempt that brought the first event of the stream that the caller resumes, if the caller names one; empty if what it sent
    /// can't be the name of one attempt.
    std::optional<std::string> resumes;
    /// The only software version that may run the request, since it began the stream; unset if the request begins a stream.
    std::optional<SoftwareVersion> requiredVersion;
};

/// A request whose head and body have been read. It never contains the caller's key.
struct GatewayRequest {
    WorkspaceId workspace;
    std::string method;
    /// Path and query, without any key.
    std::string target;
    std::string contentType;
    IdempotencyKey idempotencyKey;
    ModelName model;
    std::string body;
    std::optional<TraceContext> parent;
    /// No attempt is started after this time.
    TimePoint deadline;
    /// The deadline given by the caller. It also ends an answer that has begun.
    std::optional<TimePoint> callerDeadline;
    /// Digest of the caller's key, checked again while the request waits and runs.
    std::optional<KeyDigest> key;
    /// The last event that the caller has received of a stream that is being resumed.
    std::optional<std::uint64_t> resumeAfter;
    /// Empty for a request on a route that names its backend servers.
    std::optional<RoutedRequest> routed;
    CancellationPointer cancellation;
    /// Whether a backend server must say which of its processes is at the other end of a new connection.
    bool needsProcess { false };
    /// Called right before the request is written to a connection, with the process of the backend server at the other end, if that is
    /// known. Throws Error if the request must not be sent.
    std::function<void(const std::optional<ServerProcess>&)> beforeSend;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

} // namespace Ibisturn
