#pragma once

#include <LibCore/Clock.h>

#include <optional>
#include <string_view>

namespace Ibisturn {

/// Parses the header `X-Request-Timeout`: an integer with the unit `ms`, `s` or `m`, such as `30s`.
/// Returns nullopt if it is malformed, zero, or longer than a day. Thread safety: any thread.
std::optional<Duration> parseRequestTimeout(std::string_view text);

} // namespace Ibisturn
