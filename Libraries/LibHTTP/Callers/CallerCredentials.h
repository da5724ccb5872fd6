#pragma once

#include <LibCore/Identifier.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// A caller's target with the key taken out of its query, and the key's digest.
struct CallerCredentials {
    std::string target;
    std::optional<KeyDigest> key;
};

/// Takes the key out of the headers `Authorization: Bearer` and `X-Api-Key` or the query parameters `key`
/// and `api_key`, and keeps its digest only. Thread safety: any thread.
CallerCredentials extractCredentials(std::string_view authorization, std::string_view apiKey, std::string_view target);

} // namespace Ibisturn
