#include <LibPlatform/StoredStreamNotes.h>

#include <LibCore/JsonText.h>

#include <charconv>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr auto serviceField = "service";
constexpr auto versionField = "version";
constexpr auto keysField = "keys";
constexpr std::size_t keyDigits = 16;
constexpr int hexadecimal = 16;
/// Larger than any entry that an instance writes: all notes that a collector keeps.
constexpr std::size_t maxEntrySize = 256UL * 1024;
constexpr std::size_t maxNameLength = 256;

std::optional<std::string> readName(const nlohmann::json& group, const char* field)
{
    const auto found = group.find(field);
    if (found == group.end() || !found->is_string())
        return std::nullopt;
    auto name = found->get<std::string>();
    return name.empty() || name.size() > maxNameLength ? std::nullopt : std::optional(std::move(name));
}

// Adds the notes of streams with one origin. Returns false if they can't be read.
bool readGroup(const nlohmann::json& group, std::vector<StreamNote>& notes)
{
    if (!group.is_object())
        return false;
    auto service = readName(group, serviceField);
    auto version = readName(group, versionField);
    const auto keys = group.find(keysField);
    if (!service || !version || keys == group.end() || !keys->is_string())
        return false;
    const StreamOrigin origin { ServiceId(std::move(*service)), SoftwareVersion(std::move(*version)) };
    const auto& digits = keys->get_ref<const std::string&>();
    if (digits.size() % keyDigits != 0)
        return false;
    for (std::size_t begin = 0; begin < digits.size(); begin += keyDigits) {
        std::uint64_t key = 0;
        const auto* last = digits.data() + begin + keyDigits;
        const auto [end, error] = std::from_chars(digits.data() + begin, last, key, hexadecimal);
        if (error != std::errc {} || end != last)
            return false;
        notes.push_back({ StreamKey(key), origin, {} });
    }
    return true;
}

} // namespace

std::string streamNotesPrefixOf(std::string_view ownPrefix)
{
    while (ownPrefix.ends_with('/'))
        ownPrefix.remove_suffix(1);
    return fmt::format("{}-stream-notes/", ownPrefix);
}

std::string streamNotesKeyOf(std::string_view ownPrefix, const InstanceId& instance, Incarnation incarnation, std::uint64_t number)
{
    return fmt::format("{}{}/{}/{}", streamNotesPrefixOf(ownPrefix), instance, incarnation, number);
}

std::string formatStreamNotes(const std::vector<StreamNote>& notes)
{
    std::map<StreamOrigin, std::string> keys;
    for (const auto& note : notes)
        keys[note.origin] += fmt::format("{:016x}", note.key.count());
    auto groups = nlohmann::json::array();
    for (auto& [origin, digits] : keys)
        groups.push_back({ { serviceField, origin.service.value() }, { versionField, origin.version.value() }, { keysField, std::move(digits) } });
    return toJsonText(groups);
}

std::optional<std::vector<StreamNote>> parseStreamNotes(std::string_view value)
{
    if (value.size() > maxEntrySize)
        return std::nullopt;
    const auto groups = nlohmann::json::parse(value, nullptr, false);
    if (!groups.is_array())
        return std::nullopt;
    std::vector<StreamNote> notes;
    for (const auto& group : groups) {
        if (!readGroup(group, notes))
            return std::nullopt;
    }
    return notes;
}

} // namespace Ibisturn
