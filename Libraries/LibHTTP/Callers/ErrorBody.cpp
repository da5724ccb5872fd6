#include <LibHTTP/Callers/ErrorBody.h>

#include <LibCore/JsonText.h>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr unsigned firstServerError = 500;

nlohmann::json entriesToJson(const std::vector<Member>& entries)
{
    auto list = nlohmann::json::array();
    for (const auto& entry : entries) {
        list.push_back({ { "instance", entry.id.value() }, { "region", entry.region.value() },
            { "data_centre", entry.dataCentre.value() }, { "endpoint", entry.callers.toString() } });
    }
    return list;
}

} // namespace

std::string formatErrorBody(const Error& error, const std::vector<Member>& entries)
{
    const auto& row = resultCodeEntry(error.code());
    nlohmann::json body {
        { "message", error.what() },
        { "type", row.httpStatus >= firstServerError ? "server_error" : "invalid_request_error" },
        { "param", nullptr },
        { "code", row.name },
        { "number", static_cast<unsigned>(error.code()) },
        { "ran", ranName(error.ran()) },
    };
    if (!entries.empty())
        body["entries"] = entriesToJson(entries);
    return toJsonText({ { "error", std::move(body) } });
}

std::string formatEntries(const std::vector<Member>& entries)
{
    return toJsonText({ { "entries", entriesToJson(entries) } });
}

} // namespace Ibisturn
