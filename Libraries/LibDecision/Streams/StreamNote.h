#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace Ibisturn {

/// What began a stream: only backend servers of this service with this software version may go on with it.
struct StreamOrigin {
    ServiceId service;
    SoftwareVersion version;

    friend auto operator<=>(const StreamOrigin&, const StreamOrigin&) = default;
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

} // namespace Ibisturn
