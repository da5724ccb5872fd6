#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// The W3C trace context: the trace of a request and its parent span.
struct TraceContext {
    /// 32 hexadecimal digits.
    std::string traceId;
    /// 16 hexadecimal digits.
    std::string spanId;
};

/// Parses a `traceparent` header; returns nullopt if it is malformed or an id is all zero. Thread safety: any thread.
std::optional<TraceContext> parseTraceparent(std::string_view header);

/// Formats a `traceparent` header with the sampled flag set. Thread safety: any thread.
std::string formatTraceparent(const TraceContext& context);

/// A trace span of one hop of a request. It contains no key and no prompt text.
/// Thread safety: one thread at a time.
class Span {
public:
    struct Attribute {
        std::string key;
        std::string value;
    };

    /// Starts a span now, as a child of `parent` or as the root of a new trace.
    Span(std::string name, const std::optional<TraceContext>& parent);

    /// The context to propagate to the next hop.
    const TraceContext& context() const { return context_; }

    /// Adds an attribute. Precondition: the value contains no key and no prompt text.
    void setAttribute(std::string key, std::string value);

    /// Ends the span now; a second call is ignored.
    void end();

    /// The span as one OTLP/JSON span object.
    std::string toJson() const;

private:
    std::string name_;
    TraceContext context_;
    std::string parentSpanId_;
    std::chrono::system_clock::time_point start_;
    std::optional<std::chrono::system_clock::time_point> end_;
    std::vector<Attribute> attributes_;
};

} // namespace Ibisturn
