#pragma once

#include <LibHTTP/Operators/Tracer.h>

#include <optional>
#include <string>
#include <utility>

namespace Ibisturn {

/// Ends and exports a span at the end of its scope, also after an exception.
/// Thread safety: one coroutine at a time.
class ScopedSpan {
public:
    /// Starts the span now. Precondition: `tracer` outlives the object.
    ScopedSpan(const Tracer& tracer, std::string name, const std::optional<TraceContext>& parent)
        : tracer_(tracer)
        , span_(std::move(name), parent)
    {
    }

    ~ScopedSpan() { tracer_.finish(span_); }
    ScopedSpan(const ScopedSpan&) = delete;
    ScopedSpan& operator=(const ScopedSpan&) = delete;

    /// The span, to add attributes to it.
    Span& span() { return span_; }

private:
    const Tracer& tracer_;
    Span span_;
};

} // namespace Ibisturn
