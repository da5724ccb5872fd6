#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// What began a stream: only backend servers of this service with this software version may go on with it.
struct StreamOrigin {
    ServiceId service;
    SoftwareVersion version;

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// Identifies a stream by its workspace and the caller's attempt that brought its first event.
using StreamKey = Quantity<struct StreamKeyTag, std::uint64_t>;

/// The key of a stream. The workspace is part of it, so that one workspace can't name another one's streams. Thread safety: any thread.
StreamKey streamKeyOf(const WorkspaceId& workspace, std::string_view attemptId);

/// The origin of a stream as one instance tells it to others.
struct StreamNote {
    StreamKey key;
    StreamOrigin origin;
    /// Time since the instance last relayed the stream's first event or resumed the stream.
    Duration age {};
};

/// The origins of the streams that this and other instances have answered lately. The number kept is bounded, in all and for each workspace.
/// Thread safety: one thread at a time.
class StreamOrigins {
public:
    /// Sets how long an origin is kept after it was last noted.
    void setLifetime(Duration lifetime);

    /// Notes the origin of a stream whose first event this instance relays, or that it resumes.
    void record(TimePoint now, const WorkspaceId& workspace, std::string_view attemptId, const StreamOrigin& origin);

    /// Adds what other instances have noted.
    void onNotes(TimePoint receivedAt, const std::vector<StreamNote>& notes);

    /// The origin of a stream; unset if it is unknown, or if two origins were noted for the same key.
    std::optional<StreamOrigin> find(TimePoint now, StreamKey key) const;

    /// What this instance has noted lately. Each note is returned for long enough to be part of several reports.
    std::vector<StreamNote> recentNotes(TimePoint now) const;

private:
    std::map<StreamKey, std::optional<StreamOrigin>> stub_;
};

} // namespace Ibisturn
