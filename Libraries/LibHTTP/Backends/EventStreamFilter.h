#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

enum class EventNumbering : std::uint8_t {
    /// Ids start at 0 and have no gaps.
    Consecutive,
    /// Ids increase, possibly with gaps.
    Increasing,
};

/// Filters a resumable stream of server-sent events: passes complete events only, in the order of their `id:`, each
/// once. restart() drops the rest of a truncated event.
/// Thread safety: one thread at a time.
class EventStreamFilter {
public:
    /// `lastEvent` is the id of the last event that was passed already.
    explicit EventStreamFilter(std::optional<std::uint64_t> lastEvent = std::nullopt, EventNumbering numbering = EventNumbering::Consecutive)
        : numbering_(numbering)
        , lastEvent_(lastEvent)
    {
    }

    /// Takes bytes of the stream and returns the complete events that were not passed before. Throws Error with AnswerCut
    /// if an event is missing or exceeds the size limit.
    std::string take(std::string_view bytes);

    /// Begins the answer of another attempt, which continues after the last event.
    void restart() { buffer_.clear(); }

    /// The id of the last event that was passed, if any.
    std::optional<std::uint64_t> lastEvent() const { return lastEvent_; }

private:
    bool shouldPass(std::string_view event);

    EventNumbering numbering_;
    std::string buffer_;
    std::optional<std::uint64_t> lastEvent_;
};

} // namespace Ibisturn
