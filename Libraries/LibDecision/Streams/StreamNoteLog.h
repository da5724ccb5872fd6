#pragma once

#include <LibDecision/Streams/OriginTable.h>
#include <LibDecision/Streams/StreamNote.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// Where an instance has a note from.
enum class NoteSource : std::uint8_t {
    Self,
    /// Another instance of the region, which reported its own note.
    OwnRegion,
    /// A collector, which passed it on.
    Collector,
};

/// The notes that have reached an instance lately, in the order of their arrival, so that each of them is passed on to each receiver
/// once if no message is lost. Notes that arrive again are ignored. It keeps 8192 notes at most, of about 77 bytes each.
/// Thread safety: one thread at a time.
class StreamNoteLog {
public:
    /// The position of a note in the order of arrival.
    using Position = std::uint64_t;

    /// Older notes are neither taken nor passed on. A process that has just started gets those that are kept, as does a receiver that
    /// was unreachable.
    static constexpr Duration maxAge = std::chrono::seconds(8);
    static constexpr std::size_t maxNotes = 8192;

    /// Adds notes that have arrived.
    void add(TimePoint now, const std::vector<StreamNote>& notes, NoteSource source);

    /// The position of the next note to arrive.
    Position end() const { return first_ + entries_.size(); }

    /// The position of the first note that arrived at `time` or later.
    Position positionAt(TimePoint time) const;

    /// The notes that arrived at `from` or later, of whatever source.
    std::vector<StreamNote> notesFrom(TimePoint now, Position from) const;

    /// Those of them that instances of this region have made.
    std::vector<StreamNote> regionNotesFrom(TimePoint now, Position from) const;

    /// The notes of others that have arrived since the last call.
    std::vector<StreamNote> takeNew(TimePoint now);

private:
    struct Entry {
        TimePoint arrivedAt;
        TimePoint notedAt;
        StreamKey key;
        OriginTable::Index origin { 0 };
        NoteSource source { NoteSource::Self };
    };

    template <typename Predicate>
    std::vector<StreamNote> notesIf(TimePoint now, Position from, Predicate predicate) const;
    bool isKnown(std::uint64_t identity, TimePoint notedAt, NoteSource source) const;
    void removeFirst();

    OriginTable origins_;
    std::deque<Entry> entries_;
    /// The position of the first of `entries_`.
    Position first_ { 0 };
    Position taken_ { 0 };
    /// The newest position of each pair of key and origin.
    std::unordered_map<std::uint64_t, Position> positions_;
};

/// What the messages to one receiver contained, so that later ones contain only what came after those that it has confirmed.
/// Thread safety: one thread at a time.
class NoteDeliveries {
public:
    /// A message with this number contains all notes before `end`. If two messages have the same number, the earlier one counts.
    void onSent(std::uint64_t number, StreamNoteLog::Position end);

    /// The receiver has the message with this number. Numbers that are confirmed later are not lower.
    void onConfirmed(std::uint64_t number);

    /// The position before which the receiver has all notes; unset if it has confirmed none.
    const std::optional<StreamNoteLog::Position>& confirmed() const { return confirmed_; }

private:
    struct Message {
        std::uint64_t number { 0 };
        StreamNoteLog::Position end { 0 };
    };

    std::deque<Message> messages_;
    std::optional<StreamNoteLog::Position> confirmed_;
};

} // namespace Ibisturn
