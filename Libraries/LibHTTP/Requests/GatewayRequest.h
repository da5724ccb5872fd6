#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Span.h>
#include <LibDecision/Placement/PlacementQuery.h>
#include <LibHTTP/Requests/Cancellation.h>
#include <LibKernel/HttpHeader.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// What a request on a route with terms brings besides.
struct RoutedRequest {
    RouteId route;
    /// The service that the route gave it to, and the revision of the configuration that said so.
    ServiceId service;
    Revision revision;
    /// The caller's name of this attempt; backend servers and their answers repeat it.
    std::string callerId;
    std::string host;
    /// Headers for the backend server, as the caller sent them.
    std::vector<HttpHeader> headers;
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    TokenCount mostAnswerTokens;
    std::uint32_t priority { 0 };
    /// The first part of the answer should come by then.
    TimePoint target;
    /// Whether its stream may go on at another backend server.
    ResumeSupport resume { ResumeSupport::Unsupported };
};

/// A request whose head and body were taken in. It never holds the caller's key.
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
    /// No attempt begins after this.
    TimePoint deadline;
    /// The deadline that the caller gave, which ends the answer too.
    std::optional<TimePoint> callerDeadline;
    /// Digest of the caller's key, to be checked again while the request waits and runs.
    std::optional<KeyDigest> key;
    /// The last event that the caller has of a stream that is being resumed.
    std::optional<std::uint64_t> resumeAfter;
    /// Nothing for a request on a route that names its backend servers.
    std::optional<RoutedRequest> routed;
    CancellationPointer cancellation;
    /// Called right before the request is written to a connection; throws Error if it must not be.
    std::function<void()> handOver;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

} // namespace Ibisturn
