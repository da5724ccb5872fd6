#include <LibHTTP/OperatorInterface.h>

#include <LibConfiguration/RecordSet.h>
#include <LibCore/Digest.h>
#include <LibHTTP/ErrorBody.h>

#include <charconv>
#include <optional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view recordsPath = "/v1/records/";
constexpr std::uint32_t headLimit = 16U * 1024;
constexpr std::uint64_t bodyLimit = 1024UL * 1024;
constexpr Duration idleTimeout = std::chrono::seconds(60);

Revision parseRevision(const std::string& text)
{
    std::int64_t count = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc {} || end != last)
        throw Error(ResultCode::MalformedRequest, Ran::No, "If-Match must be the revision that you saw, or 0 for a new record");
    return Revision(count);
}

RecordName parseTarget(const std::string& target)
{
    const auto name = parseRecordKey("", target.substr(std::string_view("/v1/").size()));
    if (!name)
        throw Error(ResultCode::RecordNotFound, Ran::No, "The path must be /v1/records/KIND/NAME with a known kind");
    return *name;
}

OperatorReply errorReply(const Error& error)
{
    return { resultCodeEntry(error.code()).httpStatus, "application/json", formatErrorBody(error) };
}

nlohmann::json entryToJson(const std::string& prefix, const StoreEntry& entry)
{
    const auto name = parseRecordKey(prefix, entry.key);
    auto json = nlohmann::json::parse(entry.value, nullptr, false);
    if (json.is_discarded())
        json = nullptr;
    return { { "kind", name ? name->kind : "" }, { "name", name ? name->name : "" }, { "revision", entry.revision.count() }, { "record", json } };
}

} // namespace

OperatorInterface::OperatorInterface(InstanceTables& tables, StoreClient& store)
    : tables_(tables)
    , store_(store)
{
}

Task<OperatorReply> OperatorInterface::handle(OperatorRequest request)
{
    std::optional<Error> failure;
    OperatorReply reply;
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
        { "PUT", "/v1/log-level", &OperatorInterface::changeLogLevel },
    };
    return table;
}

Task<OperatorReply> OperatorInterface::dispatch(OperatorRequest request)
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
        throw Error(ResultCode::MethodNotAllowed, Ran::No, "The path does not take this method");
    throw Error(ResultCode::PathUnknown, Ran::No, "No interface has this path");
}

Task<OperatorReply> OperatorInterface::showMetrics(OperatorRequest /*request*/)
{
    co_return OperatorReply { 200, "text/plain; version=0.0.4", tables_.metrics.render() };
}

Task<OperatorReply> OperatorInterface::showHealth(OperatorRequest request)
{
    const bool isReady = tables_.configuration.get() && !tables_.isDraining;
    const bool isWell = request.target == "/healthz" || isReady;
    co_return OperatorReply { isWell ? 200U : 503U, "application/json", isWell ? R"({"status":"ok"})" : R"({"status":"not ready"})" };
}

Task<OperatorReply> OperatorInterface::showStatus(OperatorRequest request)
{
    requireOperator(request);
    const auto snapshot = tables_.configuration.get();
    const auto membership = tables_.membership.get();
    const auto& identity = tables_.settings.identity;
    const nlohmann::json status {
        { "instance", identity.instance.value() },
        { "region", identity.region.value() },
        { "data_centre", identity.dataCentre.value() },
        { "revision", snapshot ? snapshot->revision().count() : 0 },
        { "records", snapshot ? snapshot->recordCount() : 0 },
        { "instances", membership ? membership->instances.size() : 0 },
        { "requests_under_way", tables_.requestsUnderWay.load() },
        { "draining", tables_.isDraining.load() },
    };
    co_return OperatorReply { 200, "application/json", status.dump() };
}

Task<OperatorReply> OperatorInterface::listRecords(OperatorRequest request)
{
    requireOperator(request);
    const auto& prefix = tables_.settings.storePrefix;
    // The target names a kind, or a kind and a name, below the records.
    std::string wanted = prefix + request.target.substr(std::string_view("/v1/").size());
    const bool isOne = parseRecordKey(prefix, wanted).has_value();
    const StoreRange range = co_await store_.range(wanted);
    auto list = nlohmann::json::array();
    for (const auto& entry : range.entries) {
        if (!isOne || entry.key == wanted)
            list.push_back(entryToJson(prefix, entry));
    }
    if (isOne && list.empty())
        throw Error(ResultCode::RecordNotFound, Ran::No, "There is no such record");
    const nlohmann::json body { { "revision", range.revision.count() }, { "records", std::move(list) } };
    co_return OperatorReply { 200, "application/json", body.dump() };
}

Task<OperatorReply> OperatorInterface::putRecord(OperatorRequest request)
{
    requireOperator(request);
    const RecordName name = parseTarget(request.target);
    const Record record = parseRecord(name.kind, name.name, request.body, Revision(0));
    if (std::holds_alternative<UnknownRecord>(record.body))
        throw Error(ResultCode::RecordInvalid, Ran::No, "The record's schema version is unknown");
    StoreWrite change { recordKey(tables_.settings.storePrefix, name), request.body, parseRevision(request.ifMatch) };
    co_return co_await write(std::move(change));
}

Task<OperatorReply> OperatorInterface::withdrawRecord(OperatorRequest request)
{
    requireOperator(request);
    const RecordName name = parseTarget(request.target);
    StoreWrite change { recordKey(tables_.settings.storePrefix, name), std::nullopt, parseRevision(request.ifMatch) };
    co_return co_await write(std::move(change));
}

Task<OperatorReply> OperatorInterface::changeLogLevel(OperatorRequest request)
{
    requireOperator(request);
    const auto level = logLevelFromName(request.body);
    if (!level)
        throw Error(ResultCode::MalformedBody, Ran::No, "The level must be debug, info, warning or error");
    setLogLevel(*level);
    co_return OperatorReply { 200, "application/json", R"({"status":"ok"})" };
}

Task<OperatorReply> OperatorInterface::write(StoreWrite change)
{
    std::vector<StoreWrite> changes;
    changes.push_back(std::move(change));
    const StoreWriteResult result = co_await store_.transact(std::move(changes));
    if (result.outcome == WriteOutcome::Written)
        co_return OperatorReply { 200, "application/json", nlohmann::json { { "revision", result.revision.count() } }.dump() };
    OperatorReply reply = errorReply(Error(ResultCode::RevisionConflict, Ran::No, "Another write changed the record first"));
    auto body = nlohmann::json::parse(reply.body);
    auto current = nlohmann::json::array();
    for (const auto& entry : result.current)
        current.push_back(entryToJson(tables_.settings.storePrefix, entry));
    body["error"]["current"] = std::move(current);
    reply.body = body.dump();
    co_return reply;
}

void OperatorInterface::requireOperator(const OperatorRequest& request) const
{
    const auto& text = request.authorization;
    if (text.starts_with(bearer)) {
        const auto digest = digestOfKey(std::string_view(text).substr(bearer.size()));
        for (const auto& credential : tables_.settings.operatorCredentials) {
            if (equalInConstantTime(credential.digest.value(), digest.value()))
                return;
        }
    }
    throw Error(ResultCode::OperatorRefused, Ran::No, "The operator's credential is missing or unknown");
}

Task<void> serveOperator(Asio::ip::tcp::socket socket, OperatorInterface& interface)
{
    Beast::tcp_stream stream(std::move(socket));
    Beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen) {
        Http::request_parser<Http::string_body> parser;
        parser.header_limit(headLimit);
        parser.body_limit(bodyLimit);
        stream.expires_after(idleTimeout);
        boost::system::error_code error;
        co_await Http::async_read(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            co_return;
        const auto& message = parser.get();
        OperatorRequest request { std::string(message.method_string()), std::string(message.target()),
            std::string(message[Http::field::authorization]), std::string(message[Http::field::if_match]), message.body() };
        OperatorReply reply = co_await interface.handle(std::move(request));
        Http::response<Http::string_body> response(static_cast<Http::status>(reply.status), httpVersion11);
        response.set(Http::field::content_type, reply.contentType);
        response.keep_alive(parser.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, error));
        isOpen = !error && parser.keep_alive();
    }
}

} // namespace Ibisturn
