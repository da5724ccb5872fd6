#include "Deployment.h"

#include <LibCore/Digest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::Scenarios {

namespace {

constexpr const char* operatorKey = "scenario-operator";
constexpr auto readyTimeout = std::chrono::seconds(10);
constexpr auto readyPollInterval = std::chrono::milliseconds(20);

std::string makeTemporaryFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "ibisturn-scenario-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("can't create the folder for the scenario's files");
    return pattern;
}

// The address after `label` in a log line.
Endpoint endpointIn(const std::string& line, const std::string& label)
{
    const auto at = line.find(label);
    if (at == std::string::npos)
        throw std::runtime_error("no '" + label + "' in: " + line);
    const auto start = at + label.size();
    const auto endpoint = parseEndpoint(line.substr(start, line.find(' ', start) - start));
    return endpoint.value();
}

CallerRequest operatorRequest(const Endpoint& endpoint, const std::string& method, const std::string& target)
{
    CallerRequest request { endpoint, method, target, {}, {} };
    request.headers.push_back({ "Authorization", std::string("Bearer ") + operatorKey });
    return request;
}

} // namespace

const DeploymentNames& namesOf(DeploymentKind kind)
{
    static const DeploymentNames thatch { { "khomas", "omaheke", "erongo" }, "guides", "schools", "narrative", "short", "/bookings" };
    static const DeploymentNames cooler { { "bc-coast", "bc-island", "bc-interior" }, "office", "drivers", "route-summary", "notice", "/swaps" };
    return kind == DeploymentKind::ThatchTrust ? thatch : cooler;
}

Deployment::Deployment(DeploymentKind kind)
    : names_(namesOf(kind))
    , folder_(makeTemporaryFolder())
{
    std::ofstream(folder_ + "/live.json") << R"({"instances":[],"backend_servers":[]})";
    const auto& home = names_.regions[0];
    startStandIn("store", { "store" });
    startStandIn("live", { "live", "--file", folder_ + "/live.json", "--lag-ms", "0" });
    startStandIn("engine-" + home, { "engine", "--name", "engine-" + home, "--tokens", "40", "--token-ms", "10" });
    startStandIn("engine-" + names_.regions[1], { "engine", "--name", "engine-" + names_.regions[1], "--tokens", "40", "--token-ms", "10" });
    startStandIn("service", { "service", "--run-ms", "300" });
    addInstance(home + "-a", home);
    addInstance(home + "-b", home);
    addInstance(names_.regions[1] + "-a", names_.regions[1]);
    addInstance(names_.regions[2] + "-a", names_.regions[2]);
    publishLiveList();
    writeRecords();
    awaitReady();
}

Deployment::~Deployment()
{
    instances_.clear();
    standIns_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::vector<Endpoint> Deployment::engines() const
{
    return { standIns_.at("engine-" + names_.regions[0]).endpoint, standIns_.at("engine-" + names_.regions[1]).endpoint };
}

void Deployment::change(const ChangeProcess& change)
{
    const auto standIn = standIns_.find(change.name);
    auto& process = standIn == standIns_.end() ? instances_.at(change.name).process : standIn->second.process;
    switch (change.change) {
    case ProcessChange::Kill:
        process->signal(SIGKILL);
        return process->wait();
    case ProcessChange::Freeze:
        return process->signal(SIGSTOP);
    case ProcessChange::Thaw:
        return process->signal(SIGCONT);
    case ProcessChange::Drain:
        // Engine stand-ins drain on an HTTP request, instances on SIGTERM.
        if (standIn != standIns_.end())
            call({ standIn->second.endpoint, "POST", "/drain", {}, {} });
        else
            process->signal(SIGTERM);
        return;
    case ProcessChange::Start:
        startInstance(change.name);
        return publishLiveList();
    }
}

void Deployment::change(const ChangeLink& change)
{
    auto& instance = instances_.at(change.instance);
    auto& link = change.to == "store" ? instance.storeLink : instance.peersLink;
    if (change.change == LinkChange::Cut)
        link->cut();
    else
        link->heal();
}

CallerAnswer Deployment::writeRecord(const std::string& instance, const std::string& kind, const std::string& name, const std::string& json)
{
    return changeRecord(instance, "PUT", fmt::format("/v1/records/{}/{}", kind, name), json);
}

CallerAnswer Deployment::withdrawRecord(const std::string& instance, const std::string& kind, const std::string& name)
{
    return changeRecord(instance, "DELETE", fmt::format("/v1/records/{}/{}", kind, name), "");
}

CallerAnswer Deployment::changeRecord(const std::string& instance, const std::string& method, const std::string& target, const std::string& json)
{
    const auto endpoint = operatorsOf(instance);
    const auto current = nlohmann::json::parse(call(operatorRequest(endpoint, "GET", target)).body, nullptr, false);
    const bool exists = current.is_object() && current.contains("records");
    const auto revision = exists ? current["records"][0]["revision"].get<std::int64_t>() : 0;
    auto request = operatorRequest(endpoint, method, target);
    request.headers.push_back({ "If-Match", std::to_string(revision) });
    request.body = json;
    return call(request);
}

void Deployment::startStandIn(const std::string& name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), IBISTURN_STAND_INS);
    StandIn standIn { std::make_unique<ChildProcess>(arguments, folder_ + "/" + name + ".log"), {} };
    standIn.endpoint = endpointIn(standIn.process->awaitLine("listening "), "listening ");
    standIns_.emplace(name, std::move(standIn));
}

void Deployment::addInstance(const std::string& name, const std::string& region)
{
    InstanceProcess instance;
    instance.region = region;
    instance.storeLink = std::make_unique<LinkRelay>(store());
    instance.peersLink = std::make_unique<LinkRelay>(Endpoint { "127.0.0.1", 0 });
    writeSettings(name, instance);
    instances_.emplace(name, std::move(instance));
    startInstance(name);
}

void Deployment::startInstance(const std::string& name)
{
    auto& instance = instances_.at(name);
    instance.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { IBISTURN_PROGRAM, "serve", "--settings", folder_ + "/" + name + ".yaml" }, folder_ + "/" + name + ".log");
    const auto line = instance.process->awaitLine("instance: Listening.");
    instance.callers = endpointIn(line, "callers=");
    instance.operators = endpointIn(line, "operators=");
    instance.peersLink->setTarget(endpointIn(line, "peers="));
}

void Deployment::writeSettings(const std::string& name, const InstanceProcess& instance) const
{
    std::ofstream(folder_ + "/" + name + ".yaml") << fmt::format(R"(instance: {0}
region: {1}
data_centre: {1}-1
callers: {{listen: "127.0.0.1:0"}}
peers: {{listen: "127.0.0.1:0"}}
operators: {{listen: "127.0.0.1:0", credentials: [{{name: scenario, digest: {2}}}]}}
platform:
  store: {{endpoints: ["{3}"]}}
  live_list: {{endpoint: "{4}", poll: 50ms}}
)",
        name, instance.region, digestOfKey(operatorKey).value(), instance.storeLink->endpoint().toString(), standIns_.at("live").endpoint.toString());
}

void Deployment::publishLiveList() const
{
    auto list = nlohmann::json::array();
    for (const auto& [name, instance] : instances_) {
        list.push_back({ { "id", name }, { "region", instance.region }, { "data_centre", instance.region + "-1" },
            { "callers", instance.callers.toString() }, { "peers", instance.peersLink->endpoint().toString() } });
    }
    const nlohmann::json document { { "instances", std::move(list) }, { "backend_servers", nlohmann::json::array() } };
    call({ standIns_.at("live").endpoint, "PUT", "/v1/live", {}, document.dump() });
}

void Deployment::writeRecords()
{
    const auto& home = names_.regions[0];
    const auto& second = names_.regions[1];
    putOrFail("residency", "two-regions", fmt::format(R"({{"schema":1,"regions":["{}","{}"]}})", home, second));
    putOrFail("residency", "home-only", fmt::format(R"({{"schema":1,"regions":["{}"]}})", home));
    putOrFail("workspaces", names_.largeWorkspace, R"({"schema":1,"residency":"two-regions","rate":100000,"burst":100000})");
    putOrFail("workspaces", names_.smallWorkspace, R"({"schema":1,"residency":"home-only","rate":100000,"burst":100000})");
    for (const auto& workspace : { names_.largeWorkspace, names_.smallWorkspace })
        putOrFail("keys", digestOfKey(keyOf(workspace)).value(), fmt::format(R"({{"schema":1,"workspace":"{}"}})", workspace));
    putOrFail("routes", "remote", fmt::format(R"({{"schema":1,"path":"/v1/chat/completions","model":"{}"}})", names_.remoteModel));
    putOrFail("routes", "home", fmt::format(R"({{"schema":1,"path":"/v1/chat/completions","model":"{}"}})", names_.homeModel));
    putOrFail("routes", "service", fmt::format(R"({{"schema":1,"path":"{}","kind":"service","repeatability":"non-idempotent"}})", names_.servicePath));
    const auto put = [this](const std::string& name, const std::string& kind, const std::string& region, const std::string& route) {
        putOrFail("backend_servers", name, fmt::format(R"({{"schema":1,"kind":"{}","endpoint":"{}","region":"{}","data_centre":"{}-1","routes":["{}"]}})", kind, standIns_.at(name).endpoint.toString(), region, region, route));
    };
    put("engine-" + home, "engine", home, "home");
    put("engine-" + second, "engine", second, "remote");
    put("service", "service", home, "service");
}

void Deployment::putOrFail(const std::string& kind, const std::string& name, const std::string& json)
{
    const auto answer = writeRecord(names_.regions[0] + "-a", kind, name, json);
    if (answer.status != 200)
        throw std::runtime_error(fmt::format("{}/{}: {}", kind, name, answer.body));
}

// An instance is ready once it knows all instances and a revision that includes the last record.
void Deployment::awaitReady() const
{
    constexpr std::size_t records = 12;
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    for (const auto& [name, instance] : instances_) {
        for (;;) {
            const auto status = nlohmann::json::parse(call(operatorRequest(instance.operators, "GET", "/v1/status")).body, nullptr, false);
            if (status.is_object() && status.value("records", 0UL) >= records && status.value("instances", 0UL) == instances_.size())
                break;
            if (std::chrono::steady_clock::now() > deadline)
                throw std::runtime_error(name + " is not ready: " + status.dump());
            std::this_thread::sleep_for(readyPollInterval);
        }
    }
}

} // namespace Ibisturn::Scenarios
