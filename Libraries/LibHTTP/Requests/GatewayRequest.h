#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Span.h>
#include <LibHTTP/Requests/Cancellation.h>

#include <optional>
#include <string>

namespace Ibisturn {

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
    CancellationPointer cancellation;
    /// Called right before the request is written to a connection; throws Error if it must not be.
    std::function<void()> handOver;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

} // namespace Ibisturn
