#include <LibDecision/Streams/StreamOrigins.h>

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace Ibisturn {

StreamKey streamKeyOf(const WorkspaceId& workspace, std::string_view attemptId)
{
    // The length makes the boundary between the two unambiguous, whatever they contain.
    std::string name = std::to_string(workspace.value().size());
    name += ':';
    name += workspace.value();
    name += attemptId;
    return StreamKey(XXH64(name.data(), name.size(), 0));
}

void StreamOrigins::record(TimePoint now, const WorkspaceId& workspace, std::string_view attemptId, const StreamOrigin& origin)
{
    const auto key = streamKeyOf(workspace, attemptId).count();
    auto& note = add(now, now, key, origin);
    addRecent(now, key, note.origin);
    // Instances that started since the other origin was reported would not know of the contradiction.
    if (note.otherOrigin != noOrigin)
        addRecent(now, key, note.otherOrigin);
    if (!note.isOwn) {
        note.isOwn = true;
        auto& queue = workspaceQueues_[workspace];
        queue.push_back({ now, key });
        while (queue.size() > limits_.notesPerWorkspace)
            removeFirst(queue);
    }
    removeExcess(now);
}

void StreamOrigins::onNotes(TimePoint receivedAt, const std::vector<StreamNote>& notes)
{
    for (const auto& note : notes) {
        if (!isExpired(receivedAt, receivedAt - note.age))
            add(receivedAt, receivedAt - note.age, note.key.count(), note.origin);
    }
    removeExcess(receivedAt);
}

std::optional<StreamOrigin> StreamOrigins::find(TimePoint now, StreamKey key) const
{
    const auto found = notes_.find(key.count());
    if (found == notes_.end() || isExpired(now, found->second.notedAt) || found->second.otherOrigin != noOrigin)
        return std::nullopt;
    return origins_.at(found->second.origin);
}

std::vector<StreamNote> StreamOrigins::recentNotes(TimePoint now) const
{
    std::vector<StreamNote> notes;
    for (auto recent = recent_.rbegin(); recent != recent_.rend() && now - recent->notedAt <= limits_.reportWindow; ++recent)
        notes.push_back({ StreamKey(recent->key), origins_.at(recent->origin), now - recent->notedAt });
    return notes;
}

StreamOrigins::Note& StreamOrigins::add(TimePoint now, TimePoint notedAt, std::uint64_t key, const StreamOrigin& origin)
{
    auto found = notes_.find(key);
    if (found != notes_.end() && isExpired(now, found->second.notedAt)) {
        erase(found);
        found = notes_.end();
    }
    if (found == notes_.end()) {
        queue_.push_back({ notedAt, key });
        return notes_[key] = { notedAt, origins_.acquire(origin) };
    }
    auto& note = found->second;
    note.notedAt = std::max(note.notedAt, notedAt);
    if (note.otherOrigin == noOrigin && origins_.at(note.origin) != origin)
        note.otherOrigin = origins_.acquire(origin);
    return note;
}

void StreamOrigins::addRecent(TimePoint now, std::uint64_t key, OriginTable::Index origin)
{
    recent_.push_back({ now, key, origins_.acquire(origins_.at(origin)) });
    while (recent_.size() > limits_.reportedNotes || now - recent_.front().notedAt > limits_.reportWindow) {
        origins_.release(recent_.front().origin);
        recent_.pop_front();
    }
}

void StreamOrigins::removeFirst(Queue& queue)
{
    const auto place = queue.front();
    queue.pop_front();
    const auto found = notes_.find(place.key);
    if (found == notes_.end())
        return;
    if (found->second.notedAt > place.notedAt)
        queue.push_back({ found->second.notedAt, place.key });
    else
        erase(found);
}

void StreamOrigins::removeExpired(TimePoint now, Queue& queue)
{
    while (!queue.empty() && isExpired(now, queue.front().notedAt))
        removeFirst(queue);
}

void StreamOrigins::removeExcess(TimePoint now)
{
    removeExpired(now, queue_);
    // Places of notes that were removed for their workspace's bound are counted, too.
    while (notes_.size() > limits_.notes || queue_.size() > 2 * limits_.notes)
        removeFirst(queue_);
    if (now < nextWorkspaceCheckAt_)
        return;
    nextWorkspaceCheckAt_ = now + lifetime_;
    for (auto& [workspace, queue] : workspaceQueues_)
        removeExpired(now, queue);
    std::erase_if(workspaceQueues_, [](const auto& entry) { return entry.second.empty(); });
}

void StreamOrigins::erase(std::unordered_map<std::uint64_t, Note>::iterator note)
{
    origins_.release(note->second.origin);
    if (note->second.otherOrigin != noOrigin)
        origins_.release(note->second.otherOrigin);
    notes_.erase(note);
}

} // namespace Ibisturn
