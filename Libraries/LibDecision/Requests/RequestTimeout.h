#pragma once

#include <LibCore/Clock.h>

#include <optional>
#include <string_view>

namespace Ibisturn {

/// Reads the header `X-Request-Timeout`: a whole number with the unit `ms`, `s` or `m`, such as `30s`.
/// Nothing if it is malformed, zero, or longer than a day. Thread safety: any thread.
std::optional<Duration> parseRequestTimeout(std::string_view text);

} // namespace Ibisturn
