#pragma once

#include <LibCore/Identifier.h>

#include <string_view>

namespace Ibisturn {

/// The fields of an OpenAI-style request body that routing uses.
struct CompletionSummary {
    ModelName model;
};

/// Parses the body without building a document. Throws Error with MalformedBody or BodyTooDeep.
/// Thread safety: any thread.
CompletionSummary scanCompletion(std::string_view body);

} // namespace Ibisturn
