#include <LibDecision/Streams/StreamOrigins.h>

namespace Ibisturn {

StreamKey streamKeyOf(const WorkspaceId&, std::string_view) { return {}; }
void StreamOrigins::setLifetime(Duration) { }
void StreamOrigins::record(TimePoint, const WorkspaceId&, std::string_view, const StreamOrigin&) { }
void StreamOrigins::onNotes(TimePoint, const std::vector<StreamNote>&) { }
std::optional<StreamOrigin> StreamOrigins::find(TimePoint, StreamKey) const { return std::nullopt; }
std::vector<StreamNote> StreamOrigins::recentNotes(TimePoint) const { return {}; }

} // namespace Ibisturn
