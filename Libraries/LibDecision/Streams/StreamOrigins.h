#pragma once

#include <LibDecision/Streams/OriginTable.h>
#include <LibDecision/Streams/StreamNote.h>

#include <deque>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// Parameters of StreamOrigins.
struct StreamOriginLimits {
    /// Notes that are kept in all. A fleet that begins 210 streams a second has 5,000 within the default lifetime.
    std::size_t notes { 32'768 };
    /// Notes of this instance's own streams that are kept for one workspace.
    std::size_t notesPerWorkspace { 4096 };
    /// How long a note is part of the reports: at least three periods of them.
    Duration reportWindow { std::chrono::milliseconds(1200) };
    /// Notes that one report contains at most.
    std::size_t reportedNotes { 512 };
};

/// The origins of the streams that this and other instances have answered lately. The number kept is bounded, in all and for each workspace;
/// the oldest ones yield. A note costs about 65 bytes, one of this instance 97, so all of them cost at most 3.2 MB.
/// Thread safety: one thread at a time.
class StreamOrigins {
public:
    explicit StreamOrigins(StreamOriginLimits limits = {})
        : limits_(limits)
    {
    }

    /// Sets how long an origin is kept after it was last noted.
    void setLifetime(Duration lifetime) { lifetime_ = lifetime; }

    /// Notes the origin of a stream whose first event this instance relays, or that it resumes.
    void record(TimePoint now, const WorkspaceId& workspace, std::string_view attemptId, const StreamOrigin& origin);

    /// Adds what other instances have noted. A note of this instance that comes back changes nothing.
    void onNotes(TimePoint receivedAt, const std::vector<StreamNote>& notes);

    /// The origin of a stream; unset if it is unknown, or if two origins were noted for the same key.
    std::optional<StreamOrigin> find(TimePoint now, StreamKey key) const;

    /// What this instance has noted lately. Each note is returned for long enough to be part of several reports.
    std::vector<StreamNote> recentNotes(TimePoint now) const;

    /// The number of notes that are kept, for metrics.
    std::size_t size() const { return notes_.size(); }

private:
    static constexpr OriginTable::Index noOrigin = std::numeric_limits<OriginTable::Index>::max();

    struct Note {
        /// When it was last noted.
        TimePoint notedAt {};
        OriginTable::Index origin { noOrigin };
        /// An origin that contradicts the first one.
        OriginTable::Index otherOrigin { noOrigin };
        /// Whether the stream counts towards the bound of its workspace.
        bool isOwn { false };
    };
    /// The place of a note in a queue that is roughly ordered by time. A note that was noted again since goes to the end once it is
    /// its turn, so that noting it again costs no further place.
    struct Place {
        TimePoint notedAt;
        std::uint64_t key { 0 };
    };
    struct RecentNote {
        TimePoint notedAt;
        std::uint64_t key { 0 };
        OriginTable::Index origin { noOrigin };
    };
    using Queue = std::deque<Place>;

    bool isExpired(TimePoint now, TimePoint notedAt) const { return now - notedAt >= lifetime_; }
    Note& add(TimePoint now, TimePoint notedAt, std::uint64_t key, const StreamOrigin& origin);
    void addRecent(TimePoint now, std::uint64_t key, OriginTable::Index origin);
    void removeFirst(Queue& queue);
    void removeExpired(TimePoint now, Queue& queue);
    void removeExcess(TimePoint now);
    void erase(std::unordered_map<std::uint64_t, Note>::iterator note);

    StreamOriginLimits limits_;
    /// Twice the longest time that callers usually allow for an answer.
    Duration lifetime_ { std::chrono::seconds(24) };
    OriginTable origins_;
    std::unordered_map<std::uint64_t, Note> notes_;
    /// Has at least one place for each note, and some of notes that were removed before their time.
    Queue queue_;
    /// The own notes of each workspace.
    std::unordered_map<WorkspaceId, Queue> workspaceQueues_;
    TimePoint nextWorkspaceCheckAt_ {};
    /// This instance's, with contradictions, in the order in which they were recorded.
    std::deque<RecentNote> recent_;
};

} // namespace Ibisturn
