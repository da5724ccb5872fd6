#pragma once

#include <LibCore/Span.h>

#include <functional>
#include <string>

namespace Ibisturn {

/// Ends spans and exports them to a destination as OTLP/JSON.
/// Thread safety: all methods from any thread, if the destination is thread-safe.
class Tracer {
public:
    /// Receives one OTLP/JSON document.
    using Destination = std::function<void(std::string)>;

    /// `service` is the service.name attribute of every document. A null destination drops spans.
    Tracer(std::string service, Destination destination);

    /// Ends `span` and exports it. Precondition: the span contains no key and no prompt text.
    void finish(Span& span) const;

    /// Sets the destination of all further spans. Precondition: no thread uses the tracer yet.
    void setDestination(Destination destination);

private:
    std::string service_;
    Destination destination_;
};

/// Writes documents to standard error, one a line. Thread safety: any thread.
void writeSpansToStandardError(std::string document);

} // namespace Ibisturn
