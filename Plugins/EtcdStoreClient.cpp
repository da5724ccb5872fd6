#include <LibCore/Base64.h>
#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/HttpClient.h>
#include <LibPlatform/OddItemLog.h>
#include <LibPlatform/StoreClient.h>
#include <LibPlatform/StoreItem.h>
#include <LibPlatform/StoreListing.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);
/// All keys of a prefix come in one reply.
constexpr ByteCount replyLimit(256UL * 1024 * 1024);
constexpr Duration watchTimeout = std::chrono::seconds(30);
constexpr unsigned httpOk = 200;

[[noreturn]] void failMalformed(ResultCode code = ResultCode::StoreUnavailable)
{
    throw Error(code, Ran::No, "The store's reply is malformed");
}

// etcd's JSON gateway encodes 64-bit numbers as strings.
std::optional<std::int64_t> readNumber(const nlohmann::json& object, const char* field)
{
    const auto found = object.is_object() ? object.find(field) : object.end();
    if (!object.is_object() || found == object.end())
        return std::nullopt;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    if (!found->is_string())
        return std::nullopt;
    const auto& text = found->get_ref<const std::string&>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc {} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

Revision readHeader(const nlohmann::json& object, ResultCode code = ResultCode::StoreUnavailable)
{
    const auto header = object.is_object() ? object.find("header") : object.end();
    const auto revision = object.is_object() && header != object.end() ? readNumber(*header, "revision") : std::nullopt;
    if (!revision || *revision <= 0)
        failMalformed(code);
    return Revision(*revision);
}

// Returns an optional list; the gateway leaves out what is empty.
const nlohmann::json& readList(const nlohmann::json& object, const char* field)
{
    static const nlohmann::json none = nlohmann::json::array();
    const auto found = object.is_object() ? object.find(field) : object.end();
    if (!object.is_object() || found == object.end())
        return none;
    if (!found->is_array())
        failMalformed();
    return *found;
}

bool readFlag(const nlohmann::json& object, const char* field)
{
    const auto found = object.is_object() ? object.find(field) : object.end();
    return object.is_object() && found != object.end() && found->is_boolean() && found->get<bool>();
}

std::optional<std::string> readBytes(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? decodeBase64(found->get_ref<const std::string&>()) : std::nullopt;
}

// The exclusive end of the range of keys with this prefix: the prefix with its last byte incremented.
std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

StoreItem readItem(const nlohmann::json& entry)
{
    StoreItem item;
    if (!entry.is_object())
        return item;
    item.key = readBytes(entry, "key");
    item.value = entry.contains("value") ? readBytes(entry, "value") : std::string();
    item.revision = readNumber(entry, "mod_revision");
    return item;
}

StoreItem readEvent(const nlohmann::json& event)
{
    const auto entry = event.is_object() ? event.find("kv") : event.end();
    StoreItem item = event.is_object() && entry != event.end() ? readItem(*entry) : StoreItem();
    const auto type = event.is_object() ? event.find("type") : event.end();
    item.isDeletion = event.is_object() && type != event.end() && *type == "DELETE";
    return item;
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

StoreWriteResult readTransactionReply(const nlohmann::json& reply, const std::vector<StoreWrite>& writes)
{
    StoreWriteResult result;
    result.revision = readHeader(reply, ResultCode::WriteOutcomeUnknown);
    if (readFlag(reply, "succeeded")) {
        result.outcome = WriteOutcome::Written;
        return result;
    }
    for (const auto& response : readList(reply, "responses")) {
        const auto range = response.is_object() ? response.find("response_range") : response.end();
        if (!response.is_object() || range == response.end())
            continue;
        for (const auto& entry : readList(*range, "kvs")) {
            auto item = readItem(entry);
            const bool isAsked = item.key && std::any_of(writes.begin(), writes.end(), [&item](const StoreWrite& write) { return write.key == *item.key; });
            if (isAsked && item.revision && *item.revision > 0)
                result.current.push_back({ *std::move(item.key), std::move(item.value).value_or(std::string()), Revision(*item.revision) });
        }
    }
    return result;
}

/// A store client that uses the JSON gateway of etcd v3 over HTTP.
class EtcdStoreClient final : public StoreClient {
public:
    explicit EtcdStoreClient(const Settings& settings)
        : endpoints_(settings.storeEndpoints)
    {
    }

    std::uint64_t oddItems() const override { return oddItems_.count(); }

    Task<StoreRange> range(std::string prefix) override
    {
        const nlohmann::json body { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } };
        const nlohmann::json reply = co_await call("/v3/kv/range", body.dump(), ResultCode::StoreUnavailable);
        const auto revision = readHeader(reply);
        StoreListing listing;
        for (const auto& entry : readList(reply, "kvs")) {
            auto change = makeStoreChange(SteadyClock(), readItem(entry), { prefix, revision, revision }, oddItems_);
            if (change)
                listing.add({ std::move(change->key), std::move(change->value).value_or(std::string()), change->revision });
        }
        if (readFlag(reply, "more"))
            throw Error(ResultCode::StoreUnavailable, Ran::No, "The store's listing is incomplete");
        listing.endPage(false);
        co_return StoreRange { revision, listing.take() };
    }

    Task<StoreWriteResult> transact(std::vector<StoreWrite> writes) override
    {
        const std::string body = makeTransaction(writes).dump();
        const nlohmann::json reply = co_await call("/v3/kv/txn", body, ResultCode::WriteOutcomeUnknown);
        co_return readTransactionReply(reply, writes);
    }

    Task<LeaseId> grantLease(Duration timeToLive) override
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeToLive).count();
        const nlohmann::json body { { "TTL", std::to_string(seconds) } };
        const nlohmann::json reply = co_await call("/v3/lease/grant", body.dump(), ResultCode::StoreUnavailable);
        const auto id = readNumber(reply, "ID");
        if (!id || *id <= 0)
            failMalformed();
        co_return LeaseId { *id };
    }

    Task<void> renewLease(LeaseId lease) override
    {
        const nlohmann::json body { { "ID", std::to_string(lease.number) } };
        const nlohmann::json reply = co_await call("/v3/lease/keepalive", body.dump(), ResultCode::StoreUnavailable);
        const auto result = reply.find("result");
        if (result == reply.end() || readNumber(*result, "TTL").value_or(0) <= 0)
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
        std::function<void(std::string_view)> onLine = [&](std::string_view line) { onChanges(readWatchLine(line, prefix, after)); };
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
    // Reads one line of a watch after the revision `after`, which it advances.
    StoreChanges readWatchLine(std::string_view line, std::string_view prefix, Revision& after)
    {
        const auto message = nlohmann::json::parse(line, nullptr, false);
        const auto result = message.is_object() ? message.find("result") : message.end();
        if (!message.is_object() || result == message.end())
            failMalformed();
        if (readFlag(*result, "canceled"))
            throw Error(ResultCode::StoreUnavailable, Ran::No, "The store ended the watch");
        StoreChanges changes;
        changes.revision = readHeader(*result);
        auto previous = after;
        for (const auto& event : readList(*result, "events")) {
            const StoreItemBounds bounds { prefix, changes.revision, std::min(previous.next(), changes.revision) };
            auto change = makeStoreChange(SteadyClock(), readEvent(event), bounds, oddItems_);
            if (!change)
                continue;
            previous = std::max(previous, change->revision);
            changes.changes.push_back(*std::move(change));
        }
        after = std::max(after, changes.revision);
        return changes;
    }

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
    OddItemLog oddItems_ { "item of the store" };
};

const PluginRegistration<StoreClientRegistry> registration("etcd", [](const Settings& settings) { return std::make_unique<EtcdStoreClient>(settings); });

} // namespace

} // namespace Ibisturn
