#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Span.h>

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
    TimePoint deadline;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

} // namespace Ibisturn
