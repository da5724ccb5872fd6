#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace Ibisturn {

/// The text of `json`. Bytes of strings that are not UTF-8 are replaced, since names come from outside and one of them must not keep the
/// rest from being written. Thread safety: any thread.
inline std::string toJsonText(const nlohmann::json& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Ibisturn
