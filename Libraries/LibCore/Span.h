#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// The W3C trace context: which trace a request belongs to and which span caused it.
struct TraceContext {
    /// 32 hexadecimal digits.
    std::string traceId;
    /// 16 hexadecimal digits.
    std::string spanId;
};

/// Reads a `traceparent` header; nothing if it is malformed or all zero. Thread safety: any thread.
std::optional<TraceContext> parseTraceparent(std::string_view header);

/// Writes a `traceparent` header, sampled. Thread safety: any thread.
std::string formatTraceparent(const TraceContext& context);

/// One hop of a request. It holds no key and no prompt text.
/// Thread safety: one thread at a time.
class Span {
public:
    struct Attribute {
        std::string key;
        std::string value;
    };

    /// Starts a span now, below `parent` or as the root of a new trace.
    Span(std::string name, const std::optional<TraceContext>& parent);

    /// The context to hand to the next hop.
    const TraceContext& context() const { return context_; }

    /// Adds an attribute. Precondition: the value holds no key and no prompt text.
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
