#include <LibDecision/Streams/StreamOrigins.h>

namespace Ibisturn {

StreamKey streamKeyOf(const WorkspaceId& workspace, std::string_view attemptId) { return StreamKey(std::hash<std::string> {}(workspace.value() + '/' + std::string(attemptId))); }
void StreamOrigins::setLifetime(Duration) { }

void StreamOrigins::record(TimePoint, const WorkspaceId& workspace, std::string_view attemptId, const StreamOrigin& origin)
{
    const auto [noted, isNew] = stub_.try_emplace(streamKeyOf(workspace, attemptId), origin);
    if (!isNew && noted->second != origin)
        noted->second.reset();
}

void StreamOrigins::onNotes(TimePoint, const std::vector<StreamNote>& notes)
{
    for (const auto& note : notes)
        stub_.try_emplace(note.key, note.origin);
}

std::optional<StreamOrigin> StreamOrigins::find(TimePoint, StreamKey key) const
{
    const auto found = stub_.find(key);
    return found == stub_.end() ? std::nullopt : found->second;
}

std::vector<StreamNote> StreamOrigins::recentNotes(TimePoint) const { return {}; }

} // namespace Ibisturn
