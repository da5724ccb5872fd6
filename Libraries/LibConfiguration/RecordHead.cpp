#include <LibConfiguration/RecordHead.h>

#include <nlohmann/json.hpp>

namespace Ibisturn {

std::string recordHeadKey(std::string_view prefix)
{
    return std::string(prefix) + "records/head";
}

std::string formatRecordHead(const RecordHead& head)
{
    return nlohmann::json { { "previous", head.previous.number() } }.dump();
}

std::optional<RecordHead> parseRecordHead(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto previous = json.find("previous");
    if (previous == json.end() || !previous->is_number_integer())
        return std::nullopt;
    return RecordHead { Revision(previous->get<std::int64_t>()) };
}

} // namespace Ibisturn
