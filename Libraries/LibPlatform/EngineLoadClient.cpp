#include <LibPlatform/EngineLoadClient.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/HttpClient.h>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr ByteCount maxReportSize(64UL * 1024);
constexpr Duration loadTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t maxRequests = 1'000'000;

std::uint32_t readCount(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > maxRequests)
        throw Error(ResultCode::MalformedBody, Ran::No, "The engine's load report is not valid");
    return found->get<std::uint32_t>();
}

} // namespace

Task<EngineLoad> fetchEngineLoad(Endpoint endpoint)
{
    HttpCall call;
    call.endpoint = std::move(endpoint);
    call.target = "/load";
    call.timeout = loadTimeout;
    call.replyLimit = maxReportSize;
    const auto requestedAt = SteadyClock().now();
    const HttpReply reply = co_await exchangeHttp(std::move(call));
    co_return parseEngineLoad(reply.body, requestedAt);
}

EngineLoad parseEngineLoad(std::string_view json, TimePoint requestedAt)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object())
        throw Error(ResultCode::MalformedBody, Ran::No, "The engine's load report is not valid");
    const auto waiting = readCount(object, "waiting");
    // Engines that know the age of their figures report it.
    const auto age = std::chrono::milliseconds(object.contains("age_ms") ? readCount(object, "age_ms") : 0);
    EngineLoad load { { requestedAt - age, readCount(object, "running") + waiting, waiting }, false };
    const auto draining = object.find("draining");
    load.isDraining = draining != object.end() && draining->is_boolean() && draining->get<bool>();
    return load;
}

} // namespace Ibisturn
