#pragma once

#include <LibCore/Identifier.h>

#include <string_view>

namespace Ibisturn {

/// What routing needs to know of an OpenAI-style request body.
struct CompletionSummary {
    ModelName model;
};

/// Reads the body without building a document. Throws Error with MalformedBody or BodyTooDeep.
/// Thread safety: any thread.
CompletionSummary scanCompletion(std::string_view body);

} // namespace Ibisturn
