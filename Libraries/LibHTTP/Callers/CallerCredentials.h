#pragma once

#include <LibCore/Identifier.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// A request target with the key removed from its query, and the key's digest.
struct CallerCredentials {
    std::string target;
    std::optional<KeyDigest> key;
};

/// Extracts the key from the headers `Authorization: Bearer` and `X-Api-Key` or the query parameters `key`
/// and `api_key`, and keeps only its digest. Thread safety: any thread.
CallerCredentials extractCredentials(std::string_view authorization, std::string_view apiKey, std::string_view target);

} // namespace Ibisturn
