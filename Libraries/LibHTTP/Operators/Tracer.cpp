#include <LibHTTP/Operators/Tracer.h>

#include <LibCore/JsonText.h>

#include <cstdio>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

Tracer::Tracer(std::string service, Destination destination)
    : service_(std::move(service))
    , destination_(std::move(destination))
{
}

void Tracer::finish(Span& span) const
{
    if (!destination_)
        return;
    span.end();
    const auto resource = nlohmann::json { { "attributes", { { { "key", "service.name" }, { "value", { { "stringValue", service_ } } } } } } };
    destination_(fmt::format(R"({{"resourceSpans":[{{"resource":{},"scopeSpans":[{{"scope":{{"name":"ibisturn"}},"spans":[{}]}}]}}]}})",
        toJsonText(resource), span.toJson()));
}

void Tracer::setDestination(Destination destination)
{
    destination_ = std::move(destination);
}

void writeSpansToStandardError(std::string document)
{
    document += '\n';
    std::fwrite(document.data(), 1, document.size(), stderr);
}

} // namespace Ibisturn
