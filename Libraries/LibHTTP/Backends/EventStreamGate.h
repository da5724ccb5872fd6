#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

enum class EventNumbering : std::uint8_t {
    /// Ids count from 0 without a gap.
    Consecutive,
    /// Ids only grow.
    Growing,
};

/// Passes whole server-sent events of a stream that can be resumed, in the order of their `id:`, each once.
/// What is left of an event that was cut is dropped by restart().
/// Thread safety: one thread at a time.
class EventStreamGate {
public:
    /// `lastEvent` is the id of the last event that was passed already.
    explicit EventStreamGate(std::optional<std::uint64_t> lastEvent = std::nullopt, EventNumbering numbering = EventNumbering::Consecutive)
        : numbering_(numbering)
        , lastEvent_(lastEvent)
    {
    }

    /// Takes bytes of the stream and returns the whole events that are due. Throws Error with AnswerCut if an
    /// event is missing or exceeds the limit.
    std::string take(std::string_view bytes);

    /// Begins the answer of another attempt, which goes on after the last event.
    void restart() { held_.clear(); }

    /// The id of the last event that was passed; nothing if none was.
    std::optional<std::uint64_t> lastEvent() const { return lastEvent_; }

private:
    bool isDue(std::string_view event);

    EventNumbering numbering_;
    std::string held_;
    std::optional<std::uint64_t> lastEvent_;
};

} // namespace Ibisturn
