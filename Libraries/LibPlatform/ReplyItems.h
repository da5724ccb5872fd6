#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace Ibisturn {

/// A JSON object that contains a list of items.
struct ItemizedReply {
    /// All but the list.
    nlohmann::json object;
    /// Those that can't be read are null.
    std::vector<nlohmann::json> items;
};

/// Reads an object whose field `list` holds a list. An item that is not valid JSON, such as one with bytes that are not UTF-8, does not keep
/// the others from being read, as long as its quotes and brackets are in pairs. Unset if there is no such list or the rest can't be read.
/// Thread safety: any thread.
std::optional<ItemizedReply> parseItemizedReply(const std::string& text, std::string_view list);

} // namespace Ibisturn
