#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Streams/StreamNote.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// The prefix of the notes of streams that collectors write to the store while several software versions may have begun streams. It is not
/// below the prefix of the instances' own keys, since nobody follows them.
std::string streamNotesPrefixOf(std::string_view ownPrefix);

/// The key of the notes that one process of an instance writes as its `number`th.
std::string streamNotesKeyOf(std::string_view ownPrefix, const InstanceId& instance, Incarnation incarnation, std::uint64_t number);

/// The value of an entry with these notes, without their ages.
std::string formatStreamNotes(const std::vector<StreamNote>& notes);

/// Reads an entry of the store; unset if it can't be read. The notes have no age, so they are kept for a full lifetime from now on.
std::optional<std::vector<StreamNote>> parseStreamNotes(std::string_view value);

} // namespace Ibisturn
