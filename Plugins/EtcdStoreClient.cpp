#include <LibCore/Base64.h>
#include <LibCore/Error.h>
#include <LibKernel/HttpClient.h>
#include <LibPlatform/StoreClient.h>

#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);
/// All keys of a prefix come in one reply.
constexpr ByteCount replyLimit(256UL * 1024 * 1024);
constexpr Duration watchTimeout = std::chrono::seconds(30);
constexpr unsigned httpOk = 200;

std::string requireBase64(const std::string& text)
{
    auto bytes = decodeBase64(text);
    if (!bytes)
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The store's reply is not valid base64");
    return std::move(*bytes);
}

// etcd's JSON gateway encodes 64-bit numbers as strings.
Revision readRevision(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end())
        return Revision(0);
    return Revision(found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>());
}

// The exclusive end of the range of keys with this prefix: the prefix with its last byte incremented.
std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

StoreEntry readEntry(const nlohmann::json& entry)
{
    return { requireBase64(entry.at("key").get<std::string>()), requireBase64(entry.value("value", "")), readRevision(entry, "mod_revision") };
}

nlohmann::json makeComparison(const std::string& plainKey, Revision expected)
{
    const auto key = encodeBase64(plainKey);
    if (expected == Revision(0))
        return { { "key", key }, { "target", "CREATE" }, { "result", "EQUAL" }, { "create_revision", "0" } };
    return { { "key", key }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(expected.number()) } };
}

nlohmann::json makeOperation(const StoreWrite& write)
{
    const auto key = encodeBase64(write.key);
    if (!write.value)
        return { { "request_delete_range", { { "key", key } } } };
    nlohmann::json put { { "key", key }, { "value", encodeBase64(*write.value) } };
    if (write.lease)
        put["lease"] = std::to_string(write.lease->number);
    return { { "request_put", std::move(put) } };
}

nlohmann::json makeTransaction(const std::vector<StoreWrite>& writes)
{
    auto compare = nlohmann::json::array();
    auto success = nlohmann::json::array();
    auto failure = nlohmann::json::array();
    for (const auto& write : writes) {
        if (write.expected)
            compare.push_back(makeComparison(write.key, *write.expected));
        success.push_back(makeOperation(write));
        failure.push_back({ { "request_range", { { "key", encodeBase64(write.key) } } } });
    }
    return { { "compare", compare }, { "success", success }, { "failure", failure } };
}

StoreWriteResult readTransactionReply(const nlohmann::json& reply)
{
    StoreWriteResult result;
    result.revision = readRevision(reply.at("header"), "revision");
    if (reply.value("succeeded", false)) {
        result.outcome = WriteOutcome::Written;
        return result;
    }
    for (const auto& response : reply.value("responses", nlohmann::json::array())) {
        const auto range = response.value("response_range", nlohmann::json::object());
        for (const auto& entry : range.value("kvs", nlohmann::json::array()))
            result.current.push_back(readEntry(entry));
    }
    return result;
}

StoreChange readEvent(const nlohmann::json& event)
{
    const auto& entry = event.at("kv");
    StoreChange change { requireBase64(entry.at("key").get<std::string>()), {}, readRevision(entry, "mod_revision") };
    if (event.value("type", "PUT") != "DELETE")
        change.value = requireBase64(entry.value("value", ""));
    return change;
}

StoreChanges readWatchLine(std::string_view line)
{
    const auto result = nlohmann::json::parse(line).at("result");
    if (result.value("canceled", false))
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The store ended the watch");
    StoreChanges changes;
    changes.revision = readRevision(result.at("header"), "revision");
    for (const auto& event : result.value("events", nlohmann::json::array()))
        changes.changes.push_back(readEvent(event));
    return changes;
}

/// A store client that uses the JSON gateway of etcd v3 over HTTP.
class EtcdStoreClient final : public StoreClient {
public:
    explicit EtcdStoreClient(const Settings& settings)
        : endpoints_(settings.storeEndpoints)
    {
    }

    Task<StoreRange> range(std::string prefix) override
    {
        const nlohmann::json body { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } };
        const nlohmann::json reply = co_await call("/v3/kv/range", body.dump(), ResultCode::StoreUnavailable);
        StoreRange range;
        range.revision = readRevision(reply.at("header"), "revision");
        for (const auto& entry : reply.value("kvs", nlohmann::json::array()))
            range.entries.push_back(readEntry(entry));
        co_return range;
    }

    Task<StoreWriteResult> transact(std::vector<StoreWrite> writes) override
    {
        const std::string body = makeTransaction(writes).dump();
        const nlohmann::json reply = co_await call("/v3/kv/txn", body, ResultCode::WriteOutcomeUnknown);
        co_return readTransactionReply(reply);
    }

    Task<LeaseId> grantLease(Duration timeToLive) override
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeToLive).count();
        const nlohmann::json body { { "TTL", std::to_string(seconds) } };
        const nlohmann::json reply = co_await call("/v3/lease/grant", body.dump(), ResultCode::StoreUnavailable);
        co_return LeaseId { readRevision(reply, "ID").number() };
    }

    Task<void> renewLease(LeaseId lease) override
    {
        const nlohmann::json body { { "ID", std::to_string(lease.number) } };
        const nlohmann::json reply = co_await call("/v3/lease/keepalive", body.dump(), ResultCode::StoreUnavailable);
        const auto result = reply.find("result");
        if (result == reply.end() || readRevision(*result, "TTL") == Revision(0))
            throw Error(ResultCode::RecordNotFound, Ran::No, "The lease has ended");
    }

    Task<void> endLease(LeaseId lease) override
    {
        const nlohmann::json body { { "ID", std::to_string(lease.number) } };
        co_await call("/v3/lease/revoke", body.dump(), ResultCode::StoreUnavailable);
    }

    Task<void> watch(std::string prefix, Revision after, Duration /*confirmationPeriod*/, std::function<void(StoreChanges)> onChanges) override
    {
        const nlohmann::json body { { "create_request", { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) }, { "start_revision", std::to_string(after.next().number()) }, { "progress_notify", true } } } };
        HttpCall request = makeCall("/v3/watch", body.dump());
        request.timeout = watchTimeout;
        std::function<void(std::string_view)> onLine = [&onChanges](std::string_view line) { onChanges(readWatchLine(line)); };
        std::string problem;
        try {
            co_await readHttpLines(std::move(request), std::move(onLine));
        } catch (const std::exception& exception) {
            problem = exception.what();
        }
        useNextEndpoint();
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The watch failed: " + problem);
    }

private:
    HttpCall makeCall(std::string target, std::string body) const
    {
        HttpCall call;
        call.endpoint = endpoints_.at(current_);
        call.method = "POST";
        call.target = std::move(target);
        call.headers.push_back({ "Content-Type", "application/json" });
        call.body = std::move(body);
        call.timeout = callTimeout;
        call.replyLimit = replyLimit;
        return call;
    }

    void useNextEndpoint() { current_ = (current_ + 1) % endpoints_.size(); }

    Task<nlohmann::json> call(std::string target, std::string body, ResultCode lostReplyCode)
    {
        HttpCall request = makeCall(std::move(target), std::move(body));
        HttpReply reply;
        bool isLost = false;
        bool isRefused = false;
        try {
            reply = co_await exchangeHttp(std::move(request));
        } catch (const boost::system::system_error& error) {
            isRefused = error.code() == Asio::error::connection_refused;
            isLost = !isRefused;
        }
        if (isRefused || isLost)
            useNextEndpoint();
        if (isLost)
            throw Error(lostReplyCode, Ran::No, "The store's reply was lost");
        if (isRefused || reply.status != httpOk)
            throw Error(ResultCode::StoreUnavailable, Ran::No, "The store refused the call");
        auto parsed = nlohmann::json::parse(reply.body, nullptr, false);
        if (!parsed.is_object())
            throw Error(lostReplyCode, Ran::No, "The store's reply is not valid JSON");
        co_return parsed;
    }

    std::vector<Endpoint> endpoints_;
    std::size_t current_ { 0 };
};

const PluginRegistration<StoreClientRegistry> registration("etcd", [](const Settings& settings) { return std::make_unique<EtcdStoreClient>(settings); });

} // namespace

} // namespace Ibisturn
