#include <LibPlatform/LiveListClient.h>

#include <LibCore/Error.h>
#include <LibKernel/HttpClient.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

[[noreturn]] void failInvalid()
{
    throw Error(ResultCode::MalformedBody, Ran::No, "The live list is not valid");
}

std::string readName(const nlohmann::json& entry, const char* field)
{
    auto name = entry.at(field).get<std::string>();
    if (name.empty())
        failInvalid();
    return name;
}

// A value of another type must not be taken for an empty list.
const nlohmann::json& readList(const nlohmann::json& document, const char* field)
{
    const auto& list = document.at(field);
    if (!list.is_array())
        failInvalid();
    return list;
}

Endpoint readEndpoint(const nlohmann::json& entry, const char* field)
{
    const auto endpoint = parseEndpoint(entry.at(field).get<std::string>());
    if (!endpoint)
        throw Error(ResultCode::MalformedBody, Ran::No, "The live list has an endpoint that is not an IP address and a port");
    return *endpoint;
}

Member readMember(const nlohmann::json& entry)
{
    Member member;
    member.id = InstanceId(readName(entry, "id"));
    member.region = RegionId(readName(entry, "region"));
    member.dataCentre = DataCentreId(readName(entry, "data_centre"));
    member.callers = readEndpoint(entry, "callers");
    member.peers = readEndpoint(entry, "peers");
    member.state = entry.value("state", "live") == "leaving" ? MemberState::Leaving : MemberState::Live;
    return member;
}

} // namespace

MembershipView parseLiveList(std::string_view json)
{
    MembershipView view;
    try {
        const auto document = nlohmann::json::parse(json);
        for (const auto& entry : readList(document, "instances"))
            view.instances.push_back(readMember(entry));
        for (const auto& entry : readList(document, "backend_servers")) {
            if (entry.value("state", "live") == "leaving")
                view.leavingBackendServers.emplace(readName(entry, "id"));
        }
    } catch (const nlohmann::json::exception&) {
        failInvalid();
    }
    const auto isBefore = [](const Member& left, const Member& right) { return left.id < right.id; };
    std::sort(view.instances.begin(), view.instances.end(), isBefore);
    return view;
}

Task<MembershipView> fetchLiveList(Endpoint endpoint)
{
    HttpCall call;
    call.endpoint = std::move(endpoint);
    call.target = "/v1/live";
    const HttpReply reply = co_await exchangeHttp(std::move(call));
    co_return parseLiveList(reply.body);
}

} // namespace Ibisturn
