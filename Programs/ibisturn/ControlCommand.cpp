#include "ControlCommand.h"

#include <LibConfiguration/Declarations.h>
#include <LibCore/Error.h>
#include <LibCore/RandomIdentity.h>
#include <LibDecision/Configuration/ChangePlan.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr unsigned httpOk = 200;
constexpr unsigned httpAccepted = 202;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpUnavailable = 503;
constexpr unsigned httpGatewayTimeout = 504;
constexpr Duration changeTimeout = std::chrono::seconds(40);
constexpr int maxAttempts = 3;

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
    return reply.status == httpOk || reply.status == httpAccepted ? 0 : 1;
}

std::string recordTarget(const RecordName& name)
{
    return fmt::format("/v1/records/{}/{}", name.kind, name.name);
}

// The current revision of the record, which a write must match; zero if there is no such record.
std::optional<std::int64_t> fetchRevision(const ControlOptions& options, const RecordName& name)
{
    const auto reply = exchange(makeCall(options, "GET", recordTarget(name)));
    if (reply.status == httpNotFound)
        return 0;
    if (reply.status != httpOk) {
        show(options, reply);
        return std::nullopt;
    }
    return nlohmann::json::parse(reply.body).at("records").at(0).at("revision").get<std::int64_t>();
}

enum class ChangeMode : std::uint8_t {
    Write,
    Check,
};

HttpReply exchangeOrUnknown(const HttpCall& call)
{
    try {
        return exchange(call);
    } catch (const boost::system::system_error& error) {
        if (error.code() == Asio::error::connection_refused)
            throw;
        const nlohmann::json body { { "error", { { "message", std::string("The instance did not answer: ") + error.what() } } } };
        return { httpGatewayTimeout, body.dump() };
    }
}

// The change's id makes it safe to send the same change again when the answer was lost.
HttpReply postChange(const ControlOptions& options, const std::vector<RecordDifference>& edits, ChangeMode mode)
{
    auto changes = nlohmann::json::array();
    for (const auto& edit : edits) {
        auto record = edit.after ? nlohmann::json::parse(*edit.after) : nlohmann::json(nullptr);
        changes.push_back({ { "kind", edit.name.kind }, { "name", edit.name.name }, { "record", std::move(record) }, { "revision", edit.currentRevision.number() } });
    }
    auto call = makeCall(options, "POST", "/v1/changes");
    call.headers.push_back({ "Idempotency-Key", generateChangeId() });
    call.body = nlohmann::json { { "changes", std::move(changes) }, { "dry_run", mode == ChangeMode::Check } }.dump();
    call.timeout = changeTimeout;
    HttpReply reply;
    for (int attempts = 0; attempts < maxAttempts; ++attempts) {
        reply = exchangeOrUnknown(call);
        if (reply.status != httpGatewayTimeout && reply.status != httpUnavailable)
            break;
    }
    return reply;
}

std::vector<CurrentRecord> parseCurrentRecords(const std::string& body)
{
    std::vector<CurrentRecord> current;
    const auto json = nlohmann::json::parse(body);
    for (const auto& record : json.at("records"))
        current.push_back({ { record.at("kind"), record.at("name") }, record.at("record").dump(), Revision(record.at("revision").get<std::int64_t>()) });
    return current;
}

void printDifference(const RecordDifference& difference)
{
    const char sign = !difference.before ? '+' : !difference.after ? '-'
                                                                   : '~';
    fmt::print("{} {}/{}\n", sign, difference.name.kind, difference.name.name);
    if (difference.before)
        fmt::print("    - {}\n", *difference.before);
    if (difference.after)
        fmt::print("    + {}\n", *difference.after);
}

void printNames(const char* label, const std::vector<RecordDifference>& differences)
{
    for (const auto& difference : differences)
        fmt::print("{}: {}/{}\n", label, difference.name.kind, difference.name.name);
}

// Writes all differences in one transaction if they fit into it, otherwise in several consecutive transactions.
int applyDifferences(const ControlOptions& options, std::vector<RecordDifference> differences, ChangeMode mode)
{
    std::vector<RecordDifference> written;
    while (!differences.empty()) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(differences.size(), maxEdits));
        const std::vector<RecordDifference> batch(differences.begin(), differences.begin() + count);
        const auto reply = postChange(options, batch, mode);
        if (reply.status != httpOk) {
            show(options, reply);
            printNames("written", written);
            printNames(reply.status == httpGatewayTimeout ? "outcome unknown" : "not written", batch);
            printNames("not written", { differences.begin() + count, differences.end() });
            return 1;
        }
        if (mode == ChangeMode::Check) {
            if (count < static_cast<std::ptrdiff_t>(differences.size()))
                fmt::print("Checked the first {} of {} records, which fit into one transaction.\n", count, differences.size());
            fmt::print("Nothing written.\n");
            return 0;
        }
        show(options, reply);
        written.insert(written.end(), batch.begin(), batch.end());
        differences.erase(differences.begin(), differences.begin() + count);
    }
    fmt::print("{} records written.\n", written.size());
    return 0;
}

} // namespace

int runControlPut(const ControlOptions& options, const ControlArguments& arguments)
{
    const auto declarations = loadDeclarations(arguments.file);
    std::vector<RecordDifference> edits;
    for (const auto& declaration : declarations) {
        const auto revision = fetchRevision(options, declaration.name);
        if (!revision)
            return 1;
        edits.push_back({ declaration.name, {}, declaration.json, Revision(*revision) });
    }
    if (edits.empty()) {
        fmt::print(stderr, "{}: declares no record\n", arguments.file);
        return 2;
    }
    return show(options, postChange(options, edits, ChangeMode::Write));
}

int runControlApply(const ControlOptions& options, const ControlArguments& arguments)
{
    const auto declared = loadDeclarations(arguments.file);
    const auto reply = exchange(makeCall(options, "GET", "/v1/records/"));
    if (reply.status != httpOk)
        return show(options, reply);
    const auto pruning = arguments.isPruning ? Pruning::Delete : Pruning::Keep;
    const auto differences = compareDeclarations(declared, parseCurrentRecords(reply.body), pruning);
    for (const auto& difference : differences)
        printDifference(difference);
    if (differences.empty()) {
        fmt::print("No difference.\n");
        return 0;
    }
    return applyDifferences(options, differences, arguments.isDryRun ? ChangeMode::Check : ChangeMode::Write);
}

int runControlHistory(const ControlOptions& options, const ControlArguments& arguments)
{
    return show(options, exchange(makeCall(options, "GET", fmt::format("/v1/history/{}/{}", arguments.kind, arguments.name))));
}

int runControlGet(const ControlOptions& options, const ControlArguments& arguments)
{
    return show(options, exchange(makeCall(options, "GET", recordTarget({ arguments.kind, arguments.name }))));
}

int runControlList(const ControlOptions& options, const ControlArguments& arguments)
{
    const auto target = arguments.kind.empty() ? std::string("/v1/records/") : fmt::format("/v1/records/{}/", arguments.kind);
    return show(options, exchange(makeCall(options, "GET", target)));
}

int runControlWithdraw(const ControlOptions& options, const ControlArguments& arguments)
{
    const RecordName name { arguments.kind, arguments.name };
    // While the store is unavailable, the instance uses the revision of its current configuration.
    const auto reply = exchange(makeCall(options, "GET", recordTarget(name)));
    if (reply.status != httpOk && reply.status != httpUnavailable && reply.status != httpGatewayTimeout)
        return show(options, reply);
    const auto revision = reply.status == httpOk ? parseCurrentRecords(reply.body).front().revision : noRevision;
    return show(options, postChange(options, { { name, {}, {}, revision } }, ChangeMode::Write));
}

int runStatus(const ControlOptions& options)
{
    return show(options, exchange(makeCall(options, "GET", "/v1/status")));
}

} // namespace Ibisturn
