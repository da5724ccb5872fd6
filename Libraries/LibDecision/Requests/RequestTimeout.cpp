#include <LibDecision/Requests/RequestTimeout.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace Ibisturn {

namespace {

struct TimeoutUnit {
    std::string_view suffix;
    Duration duration;
};

constexpr std::array<TimeoutUnit, 3> timeoutUnits { {
    { "ms", std::chrono::milliseconds(1) },
    { "s", std::chrono::seconds(1) },
    { "m", std::chrono::minutes(1) },
} };

constexpr Duration maxTimeout = std::chrono::hours(24);

} // namespace

std::optional<Duration> parseRequestTimeout(std::string_view text)
{
    std::uint32_t count = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || count == 0)
        return std::nullopt;
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    for (const auto& unit : timeoutUnits) {
        if (unit.suffix == suffix && count <= maxTimeout / unit.duration)
            return count * unit.duration;
    }
    return std::nullopt;
}

} // namespace Ibisturn
