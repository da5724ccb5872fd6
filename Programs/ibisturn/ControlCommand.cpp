#include "ControlCommand.h"

#include <LibCore/Error.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr unsigned httpOk = 200;
constexpr unsigned httpNotFound = 404;

HttpCall makeCall(const ControlOptions& options, std::string method, std::string target)
{
    const auto endpoint = parseEndpoint(options.instance);
    if (!endpoint)
        throw Error(ResultCode::SettingsInvalid, Ran::No, "--instance must be an IP address and a port");
    HttpCall call;
    call.endpoint = *endpoint;
    call.method = std::move(method);
    call.target = std::move(target);
    if (const auto* credential = std::getenv(options.credentialVariable.c_str())) // NOLINT: one thread
        call.headers.push_back({ "Authorization", std::string("Bearer ") + credential });
    return call;
}

HttpReply exchange(HttpCall call)
{
    Asio::io_context context(1);
    HttpReply reply;
    std::exception_ptr failure;
    const auto exchangeOnce = [&reply](HttpCall outgoing) -> Task<void> { reply = co_await exchangeHttp(std::move(outgoing)); };
    Asio::co_spawn(context, exchangeOnce(std::move(call)), [&failure](std::exception_ptr exception) { failure = exception; }); // NOLINT: Asio's signature
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return reply;
}

int show(const ControlOptions& options, const HttpReply& reply)
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_discarded() || options.format == OutputFormat::Json)
        fmt::print("{}\n", reply.body);
    else
        fmt::print("{}\n", json.dump(2));
    return reply.status == httpOk ? 0 : 1;
}

std::string recordTarget(const ControlArguments& arguments)
{
    return fmt::format("/v1/records/{}/{}", arguments.kind, arguments.name);
}

// The revision that a write must find; zero if there is no such record.
std::optional<std::int64_t> fetchRevision(const ControlOptions& options, const ControlArguments& arguments)
{
    const auto reply = exchange(makeCall(options, "GET", recordTarget(arguments)));
    if (reply.status == httpNotFound)
        return 0;
    if (reply.status != httpOk) {
        show(options, reply);
        return std::nullopt;
    }
    return nlohmann::json::parse(reply.body).at("records").at(0).at("revision").get<std::int64_t>();
}

int writeRecord(const ControlOptions& options, const ControlArguments& arguments, const std::string& method, const std::string& body)
{
    const auto revision = fetchRevision(options, arguments);
    if (!revision)
        return 1;
    auto call = makeCall(options, method, recordTarget(arguments));
    call.headers.push_back({ "If-Match", std::to_string(*revision) });
    call.body = body;
    return show(options, exchange(std::move(call)));
}

} // namespace

int runControlPut(const ControlOptions& options, const ControlArguments& arguments)
{
    const std::ifstream file(arguments.file);
    if (!file) {
        fmt::print(stderr, "{}: the file cannot be read\n", arguments.file);
        return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto document = nlohmann::json::parse(text.str(), nullptr, false);
    const bool isNamed = document.is_object() && document.contains("kind") && document.contains("name") && document.contains("record");
    if (!isNamed) {
        fmt::print(stderr, "{}: must be a JSON object with kind, name and record\n", arguments.file);
        return 2;
    }
    const ControlArguments target { document["kind"].get<std::string>(), document["name"].get<std::string>(), arguments.file };
    return writeRecord(options, target, "PUT", document["record"].dump());
}

int runControlGet(const ControlOptions& options, const ControlArguments& arguments)
{
    return show(options, exchange(makeCall(options, "GET", recordTarget(arguments))));
}

int runControlList(const ControlOptions& options, const ControlArguments& arguments)
{
    const auto target = arguments.kind.empty() ? std::string("/v1/records/") : fmt::format("/v1/records/{}/", arguments.kind);
    return show(options, exchange(makeCall(options, "GET", target)));
}

int runControlWithdraw(const ControlOptions& options, const ControlArguments& arguments)
{
    return writeRecord(options, arguments, "DELETE", "");
}

int runStatus(const ControlOptions& options)
{
    return show(options, exchange(makeCall(options, "GET", "/v1/status")));
}

} // namespace Ibisturn
