#pragma once

#include <LibCore/Span.h>

#include <functional>
#include <string>

namespace Ibisturn {

/// Ends spans and hands them to their destination as OTLP/JSON.
/// Thread safety: all methods from any thread, if the destination is.
class Tracer {
public:
    /// Takes one OTLP/JSON document.
    using Destination = std::function<void(std::string)>;

    /// `service` names this process in every document. A null destination drops spans.
    Tracer(std::string service, Destination destination);

    /// Ends `span` and exports it. Precondition: the span holds no key and no prompt text.
    void finish(Span& span) const;

    /// Where spans go from now on. Precondition: no thread uses the tracer yet.
    void setDestination(Destination destination);

private:
    std::string service_;
    Destination destination_;
};

/// Writes documents to standard error, one a line. Thread safety: any thread.
void writeSpansToStandardError(std::string document);

} // namespace Ibisturn
