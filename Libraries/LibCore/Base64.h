#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Encodes `bytes` in standard base64 with padding. Thread safety: any thread.
std::string encodeBase64(std::string_view bytes);

/// Decodes `text`; returns nullopt if it is malformed. Thread safety: any thread.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Ibisturn
