#include <LibDecision/Streams/StreamNoteLog.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// The same note arrives by several ways, and each adds its delay to the time at which it seems to have been made.
constexpr Duration arrivalTolerance = std::chrono::seconds(1);
/// Messages that may be on their way to one receiver.
constexpr std::size_t maxMessages = 64;

// Two origins of one key are two notes, which must both reach everyone.
std::uint64_t identityOf(StreamKey key, OriginTable::Index origin)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    return key.count() ^ ((std::uint64_t(origin) + 1) * multiplier);
}

} // namespace

void StreamNoteLog::add(TimePoint now, const std::vector<StreamNote>& notes, NoteSource source)
{
    while (!entries_.empty() && now - entries_.front().arrivedAt >= maxAge)
        removeFirst();
    for (const auto& note : notes) {
        if (note.age >= maxAge)
            continue;
        const auto origin = origins_.acquire(note.origin);
        const auto identity = identityOf(note.key, origin);
        const auto notedAt = now - note.age;
        if (isKnown(identity, notedAt, source)) {
            origins_.release(origin);
            continue;
        }
        positions_[identity] = end();
        entries_.push_back({ now, notedAt, note.key, origin, source });
        if (entries_.size() > maxNotes)
            removeFirst();
    }
}

StreamNoteLog::Position StreamNoteLog::positionAt(TimePoint time) const
{
    const auto found = std::lower_bound(entries_.begin(), entries_.end(), time, [](const Entry& entry, TimePoint point) { return entry.arrivedAt < point; });
    return first_ + static_cast<Position>(found - entries_.begin());
}

std::vector<StreamNote> StreamNoteLog::notesFrom(TimePoint now, Position from) const
{
    return notesIf(now, from, [](const Entry& /*entry*/) { return true; });
}

std::vector<StreamNote> StreamNoteLog::regionNotesFrom(TimePoint now, Position from) const
{
    return notesIf(now, from, [](const Entry& entry) { return entry.source != NoteSource::Collector; });
}

std::vector<StreamNote> StreamNoteLog::takeNew(TimePoint now)
{
    auto notes = notesIf(now, taken_, [](const Entry& entry) { return entry.source != NoteSource::Self; });
    taken_ = end();
    return notes;
}

template <typename Predicate>
std::vector<StreamNote> StreamNoteLog::notesIf(TimePoint now, Position from, Predicate predicate) const
{
    std::vector<StreamNote> notes;
    for (auto position = std::max(from, first_); position < end(); ++position) {
        const auto& entry = entries_[position - first_];
        if (now - entry.notedAt < maxAge && predicate(entry))
            notes.push_back({ entry.key, origins_.at(entry.origin), now - entry.notedAt });
    }
    return notes;
}

// A note of the region that first came from a collector counts as new, since the other regions get it from here, too.
bool StreamNoteLog::isKnown(std::uint64_t identity, TimePoint notedAt, NoteSource source) const
{
    const auto known = positions_.find(identity);
    if (known == positions_.end())
        return false;
    const auto& entry = entries_[known->second - first_];
    const bool isMadeHere = source != NoteSource::Collector;
    const bool wasMadeHere = entry.source != NoteSource::Collector;
    return notedAt - entry.notedAt <= arrivalTolerance && (wasMadeHere || !isMadeHere);
}

void StreamNoteLog::removeFirst()
{
    const auto& entry = entries_.front();
    const auto known = positions_.find(identityOf(entry.key, entry.origin));
    if (known != positions_.end() && known->second == first_)
        positions_.erase(known);
    origins_.release(entry.origin);
    entries_.pop_front();
    ++first_;
}

void NoteDeliveries::onSent(std::uint64_t number, StreamNoteLog::Position end)
{
    if (!messages_.empty() && messages_.back().number == number)
        return;
    messages_.push_back({ number, end });
    if (messages_.size() > maxMessages)
        messages_.pop_front();
}

void NoteDeliveries::onConfirmed(std::uint64_t number)
{
    while (!messages_.empty() && messages_.front().number < number)
        messages_.pop_front();
    if (!messages_.empty() && messages_.front().number == number)
        confirmed_ = std::max(confirmed_, std::optional(messages_.front().end));
}

} // namespace Ibisturn
