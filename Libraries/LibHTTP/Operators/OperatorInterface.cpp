#include <LibHTTP/Operators/OperatorInterface.h>

#include <LibConfiguration/RecordSet.h>
#include <LibCore/Digest.h>
#include <LibCore/JsonText.h>
#include <LibCore/RandomIdentity.h>
#include <LibHTTP/Callers/ErrorBody.h>

#include <charconv>
#include <ctime>
#include <optional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace Http = boost::beast::http;

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view recordsPath = "/v1/records/";
constexpr std::string_view historyPath = "/v1/history/";
constexpr std::string_view changesPath = "/v1/changes";
constexpr std::uint32_t headLimit = 16U * 1024;
constexpr std::uint64_t bodyLimit = 1024UL * 1024;
constexpr Duration idleTimeout = std::chrono::seconds(60);
constexpr std::size_t maxChangeIdLength = 64;

Revision parseRevision(const std::string& text)
{
    std::int64_t count = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc {} || end != last)
        throw Error(ResultCode::MalformedRequest, Ran::No, "If-Match must be the revision of the record as last read, or 0 for a new record");
    return Revision(count);
}

RecordName parseTarget(const std::string& target)
{
    const auto name = parseRecordKey("", target.substr(std::string_view("/v1/").size()));
    if (!name)
        throw Error(ResultCode::RecordNotFound, Ran::No, "The path must be /v1/records/KIND/NAME with a known kind");
    return *name;
}

BufferedReply errorReply(const Error& error)
{
    return { resultCodeEntry(error.code()).httpStatus, "application/json", formatErrorBody(error) };
}

RecordEdit parseEdit(const nlohmann::json& json)
{
    const bool isComplete = json.is_object() && json.contains("kind") && json["kind"].is_string() && json.contains("name") && json["name"].is_string()
        && json.contains("record") && json.contains("revision") && json["revision"].is_number_integer();
    if (!isComplete)
        throw Error(ResultCode::MalformedBody, Ran::No, "Each change must have kind, name, record and revision");
    RecordEdit edit { parseTarget(fmt::format("{}{}/{}", recordsPath, json["kind"].get<std::string>(), json["name"].get<std::string>())), {}, Revision(json["revision"].get<std::int64_t>()) };
    if (!json["record"].is_null())
        edit.json = json["record"].dump();
    return edit;
}

nlohmann::json suspectedInstances(const MembershipPointer& membership)
{
    auto list = nlohmann::json::array();
    if (!membership)
        return list;
    for (const auto& member : membership->instances) {
        if (member.state == MemberState::Suspected)
            list.push_back(member.id.value());
    }
    return list;
}

bool isWithdrawalOfKey(const ChangeRequest& change)
{
    return change.edits.size() == 1 && change.edits.front().name.kind == "keys" && !change.edits.front().json;
}

std::string_view readinessName(Readiness readiness)
{
    static constexpr std::string_view names[] { "starting", "ready", "rechecking" };
    return names[static_cast<std::size_t>(readiness)];
}

nlohmann::json entryToJson(const std::string& prefix, const StoreEntry& entry)
{
    const auto name = parseRecordKey(prefix, entry.key);
    auto json = nlohmann::json::parse(entry.value, nullptr, false);
    if (json.is_discarded())
        json = nullptr;
    return { { "kind", name ? name->kind : "" }, { "name", name ? name->name : "" }, { "revision", entry.revision.number() }, { "record", json } };
}

} // namespace

OperatorInterface::OperatorInterface(InstanceTables& tables, StoreClient& store, ConfigurationFeed& feed)
    : tables_(tables)
    , store_(store)
    , feed_(feed)
    , writer_(store, tables.settings.storePrefix)
{
}

Task<BufferedReply> OperatorInterface::handle(OperatorRequest request)
{
    std::optional<Error> failure;
    BufferedReply reply;
    try {
        reply = co_await dispatch(std::move(request));
    } catch (const Error& error) {
        failure = error;
    }
    if (failure)
        reply = errorReply(*failure);
    co_return reply;
}

const std::vector<OperatorInterface::Endpoint>& OperatorInterface::endpoints()
{
    static const std::vector<Endpoint> table {
        { "GET", "/metrics", &OperatorInterface::showMetrics },
        { "GET", "/healthz", &OperatorInterface::showHealth },
        { "GET", "/readyz", &OperatorInterface::showHealth },
        { "GET", "/v1/status", &OperatorInterface::showStatus },
        { "GET", recordsPath, &OperatorInterface::listRecords },
        { "PUT", recordsPath, &OperatorInterface::putRecord },
        { "DELETE", recordsPath, &OperatorInterface::withdrawRecord },
        { "POST", changesPath, &OperatorInterface::writeChanges },
        { "GET", historyPath, &OperatorInterface::showHistory },
        { "PUT", "/v1/log-level", &OperatorInterface::changeLogLevel },
    };
    return table;
}

Task<BufferedReply> OperatorInterface::dispatch(OperatorRequest request)
{
    bool isPathKnown = false;
    for (const auto& endpoint : endpoints()) {
        if (!std::string_view(request.target).starts_with(endpoint.pathPrefix))
            continue;
        isPathKnown = true;
        if (request.method == endpoint.method)
            co_return co_await (this->*endpoint.handle)(std::move(request));
    }
    if (isPathKnown)
        throw Error(ResultCode::MethodNotAllowed, Ran::No, "The path does not allow this method");
    throw Error(ResultCode::PathUnknown, Ran::No, "The path is unknown");
}

Task<BufferedReply> OperatorInterface::showMetrics(OperatorRequest /*request*/)
{
    co_return BufferedReply { 200, "text/plain; version=0.0.4", tables_.metrics.render() };
}

Task<BufferedReply> OperatorInterface::showHealth(OperatorRequest request)
{
    const bool isReady = tables_.configuration.get() && !tables_.isDraining;
    const bool isHealthy = request.target == "/healthz" || isReady;
    co_return BufferedReply { isHealthy ? 200U : 503U, "application/json", isHealthy ? R"({"status":"ok"})" : R"({"status":"not ready"})" };
}

Task<BufferedReply> OperatorInterface::showStatus(OperatorRequest request)
{
    requireOperator(request);
    const auto snapshot = tables_.configuration.get();
    const auto membership = tables_.membership.get();
    const auto& identity = tables_.settings.identity;
    const auto state = feed_.state();
    const nlohmann::json status {
        { "instance", identity.instance.value() },
        { "region", identity.region.value() },
        { "data_centre", identity.dataCentre.value() },
        { "revision", snapshot ? snapshot->revision().number() : 0 },
        { "records", snapshot ? snapshot->recordCount() : 0 },
        { "readiness", readinessName(state.readiness) },
        { "store_age_ms", state.storeAge ? std::chrono::duration_cast<std::chrono::milliseconds>(*state.storeAge).count() : -1 },
        { "watcher", state.isWatcher },
        { "cut_off_from", suspectedInstances(membership) },
        { "instances", membership ? membership->instances.size() : 0 },
        { "requests_under_way", tables_.requestsInFlight.load() },
        { "draining", tables_.isDraining.load() },
    };
    co_return BufferedReply { 200, "application/json", toJsonText(status) };
}

Task<BufferedReply> OperatorInterface::listRecords(OperatorRequest request)
{
    requireOperator(request);
    const auto& prefix = tables_.settings.storePrefix;
    // The target is /v1/records/, followed by nothing, by a kind, or by a kind and a name.
    std::string wanted = prefix + request.target.substr(std::string_view("/v1/").size());
    const bool isOne = parseRecordKey(prefix, wanted).has_value();
    const StoreRange range = co_await store_.range(wanted);
    auto list = nlohmann::json::array();
    for (const auto& entry : range.entries) {
        const bool isRecord = parseRecordKey(prefix, entry.key).has_value();
        if (isRecord && (!isOne || entry.key == wanted))
            list.push_back(entryToJson(prefix, entry));
    }
    if (isOne && list.empty())
        throw Error(ResultCode::RecordNotFound, Ran::No, "There is no such record");
    const nlohmann::json body { { "revision", range.revision.number() }, { "records", std::move(list) } };
    co_return BufferedReply { 200, "application/json", toJsonText(body) };
}

Task<BufferedReply> OperatorInterface::putRecord(OperatorRequest request)
{
    ChangeRequest change = makeChange(request);
    change.edits.push_back({ parseTarget(request.target), request.body, parseRevision(request.ifMatch) });
    co_return co_await write(std::move(change));
}

Task<BufferedReply> OperatorInterface::withdrawRecord(OperatorRequest request)
{
    ChangeRequest change = makeChange(request);
    change.edits.push_back({ parseTarget(request.target), std::nullopt, parseRevision(request.ifMatch) });
    co_return co_await write(std::move(change));
}

Task<BufferedReply> OperatorInterface::writeChanges(OperatorRequest request)
{
    ChangeRequest change = makeChange(request);
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("changes") || !body["changes"].is_array() || body["changes"].empty())
        throw Error(ResultCode::MalformedBody, Ran::No, "The body must be a JSON object with a list of changes");
    for (const auto& edit : body["changes"])
        change.edits.push_back(parseEdit(edit));
    if (!body.value("dry_run", false))
        co_return co_await write(std::move(change));
    const std::string id = change.id;
    const ChangeResult result = co_await writer_.check(std::move(change));
    co_return showResult(id, result);
}

Task<BufferedReply> OperatorInterface::showHistory(OperatorRequest request)
{
    requireOperator(request);
    RecordName name = parseTarget("/v1/records/" + request.target.substr(historyPath.size()));
    const std::vector<HistoryEntry> history = co_await writer_.history(std::move(name));
    auto list = nlohmann::json::array();
    for (const auto& entry : history) {
        const auto record = entry.json ? nlohmann::json::parse(*entry.json, nullptr, false) : nlohmann::json(nullptr);
        list.push_back({ { "id", entry.id }, { "who", entry.who }, { "when", entry.when }, { "record", record } });
    }
    const nlohmann::json body { { "changes", std::move(list) } };
    co_return BufferedReply { 200, "application/json", toJsonText(body) };
}

Task<BufferedReply> OperatorInterface::changeLogLevel(OperatorRequest request)
{
    requireOperator(request);
    const auto level = logLevelFromName(request.body);
    if (!level)
        throw Error(ResultCode::MalformedBody, Ran::No, "The level must be debug, info, warning or error");
    setLogLevel(*level);
    co_return BufferedReply { 200, "application/json", R"({"status":"ok"})" };
}

ChangeRequest OperatorInterface::makeChange(const OperatorRequest& request) const
{
    ChangeRequest change;
    change.who = requireOperator(request);
    change.id = request.changeId.empty() ? generateChangeId() : request.changeId;
    if (change.id.size() > maxChangeIdLength)
        throw Error(ResultCode::MalformedRequest, Ran::No, "The Idempotency-Key is too long");
    change.when = fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
    return change;
}

Task<BufferedReply> OperatorInterface::write(ChangeRequest change)
{
    const std::string id = change.id;
    const bool isKeyWithdrawal = isWithdrawalOfKey(change);
    if (isKeyWithdrawal)
        withdrawImmediately(change);
    ChangeResult result;
    std::optional<Error> failure;
    try {
        result = co_await writer_.write(std::move(change));
    } catch (const Error& error) {
        failure = error;
    }
    if (!failure)
        co_return showResult(id, result);
    if (!isKeyWithdrawal)
        throw Error(*failure);
    const nlohmann::json body { { "change", id }, { "withdrawn", "where instances can be reached; the store follows when it answers" } };
    co_return BufferedReply { 202, "application/json", toJsonText(body) };
}

// A withdrawn key must stop working even while the store is unavailable, so it is withdrawn on the instances first.
void OperatorInterface::withdrawImmediately(ChangeRequest& change)
{
    auto& edit = change.edits.front();
    if (edit.expected == noRevision)
        edit.expected = feed_.revisionOf(edit.name);
    if (edit.expected != Revision(0))
        feed_.withdraw(edit.name, { "", edit.expected, change.id, change.who, change.when });
}

BufferedReply OperatorInterface::showResult(const std::string& changeId, const ChangeResult& result) const
{
    if (result.code == ResultCode::Ok)
        return { 200, "application/json", toJsonText({ { "revision", result.revision.number() }, { "change", changeId } }) };
    BufferedReply reply = errorReply(Error(result.code, Ran::No, result.reason));
    auto body = nlohmann::json::parse(reply.body);
    auto current = nlohmann::json::array();
    for (const auto& text : result.current)
        current.push_back(entryToJson(tables_.settings.storePrefix, { text.key, text.value, text.revision }));
    body["error"]["current"] = std::move(current);
    reply.body = toJsonText(body);
    return reply;
}

std::string OperatorInterface::requireOperator(const OperatorRequest& request) const
{
    const auto& text = request.authorization;
    if (text.starts_with(bearer)) {
        const auto digest = digestOfKey(std::string_view(text).substr(bearer.size()));
        for (const auto& credential : tables_.settings.operatorCredentials) {
            if (equalInConstantTime(credential.digest.value(), digest.value()))
                return credential.name;
        }
    }
    throw Error(ResultCode::OperatorRefused, Ran::No, "The operator's credential is missing or unknown");
}

Task<void> serveOperator(Asio::ip::tcp::socket socket, OperatorInterface& interface)
{
    std::function<Task<BufferedReply>(const BufferedRequest&)> answer = [&interface](const BufferedRequest& message) {
        OperatorRequest request { std::string(message.method_string()), std::string(message.target()),
            std::string(message[Http::field::authorization]), std::string(message[Http::field::if_match]), std::string(message["Idempotency-Key"]), message.body() };
        return interface.handle(std::move(request));
    };
    co_await serveBufferedRequests(std::move(socket), { idleTimeout, headLimit, bodyLimit }, std::move(answer));
}

} // namespace Ibisturn
