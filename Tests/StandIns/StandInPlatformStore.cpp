#include "StandInPlatformStore.h"

#include <LibCore/Base64.h>

#include <algorithm>
#include <charconv>

namespace Ibisturn::StandIns {

namespace {

using Json = nlohmann::json;

constexpr const char* jsonType = "application/json";
/// How often leases are checked for expiry while a watch waits.
constexpr auto leasePollInterval = std::chrono::milliseconds(50);

std::string_view targetOf(const HttpRequest& request)
{
    return { request.target().data(), request.target().size() };
}

// Decodes escaped bytes; a percent sign that begins none stands for itself.
std::string decodePercent(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 2;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned byte = 0;
        const auto* first = text.data() + index + 1;
        const auto* last = text.data() + std::min(text.size(), index + 1 + digits);
        const bool isEscaped = text[index] == '%' && first + digits == last && std::from_chars(first, last, byte, hexadecimal).ptr == last;
        decoded += isEscaped ? static_cast<char>(byte) : text[index];
        index += isEscaped ? digits : 0;
    }
    return decoded;
}

// Decodes a name or a value of a query, in which a plus sign stands for a blank.
std::string decodeQueryText(std::string_view text)
{
    std::string plain(text);
    std::replace(plain.begin(), plain.end(), '+', ' ');
    return decodePercent(plain);
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    // HTTP libraries drop a fragment.
    target = target.substr(0, target.find('#'));
    const auto queryStart = target.find('?');
    auto remaining = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[decodeQueryText(pair.substr(0, equals))] = decodeQueryText(pair.substr(equals + 1));
    }
    return query;
}

std::int64_t integerParameter(const std::map<std::string, std::string>& query, const char* name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoll(found->second);
}

std::string suffixAfter(std::string_view target, std::string_view prefix)
{
    return std::string(target.substr(prefix.size()));
}

} // namespace

StandInPlatformStore::StandInPlatformStore() = default;

const std::vector<StandInPlatformStore::Operation>& StandInPlatformStore::operations()
{
    static const std::vector<Operation> operations {
        { "GET", "/-/kv-range", &StandInPlatformStore::range },
        { "GET", "/-/kv-watch", &StandInPlatformStore::watch },
        { "POST", "/-/kv-txn", &StandInPlatformStore::transact },
        { "POST", "/-/kv-lease", &StandInPlatformStore::grant },
        { "POST", "/-/kv-keep/", &StandInPlatformStore::keepAlive },
        { "DELETE", "/-/kv-lease-end/", &StandInPlatformStore::endLease },
        { "PUT", "/entries/", &StandInPlatformStore::write },
        { "DELETE", "/entries/", &StandInPlatformStore::remove },
        { "PUT", "/items/", &StandInPlatformStore::writeItem },
        { "POST", "/faults", &StandInPlatformStore::setFaults },
    };
    return operations;
}

void StandInPlatformStore::handle(const HttpRequest& request, Responder& responder)
{
    const auto target = targetOf(request);
    const auto method = request.method_string();
    for (const auto& operation : operations()) {
        const bool isMatch = operation.method == std::string_view(method.data(), method.size()) && target.starts_with(operation.pathPrefix);
        if (!isMatch)
            continue;
        {
            const std::scoped_lock lock(mutex_);
            expireLeases();
            responder.addHeader("Store-Era", std::to_string(era_));
            if (isDown_ && target.starts_with("/-/"))
                return responder.send(503, jsonType, "{}");
        }
        return (this->*operation.handle)(request, parseQuery(target), responder);
    }
    responder.send(404, jsonType, "{}");
}

void StandInPlatformStore::range(const HttpRequest& /*request*/, const Query& query, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto& prefix = query.at("PathPrefix");
    const auto after = query.find("after");
    auto item = after == query.end() ? data_.items.lower_bound(prefix) : data_.items.upper_bound(after->second);
    std::vector<std::string> items;
    for (; item != data_.items.end() && item->first.starts_with(prefix) && items.size() < pageSize_; ++item)
        items.push_back(toText(item->first, item->second));
    const bool hasMore = item != data_.items.end() && item->first.starts_with(prefix);
    responder.send(200, jsonType, fmt::format(R"({{"items":[{}],"MorePages":{},"CurrentRev":{}}})", fmt::join(items, ","), hasMore, data_.revision));
}

void StandInPlatformStore::watch(const HttpRequest& /*request*/, const Query& query, Responder& responder)
{
    const auto& prefix = query.at("PathPrefix");
    const auto after = integerParameter(query, "after");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(integerParameter(query, "WaitMs"));
    std::unique_lock lock(mutex_);
    const auto era = era_;
    std::vector<std::string> events;
    while (events.empty()) {
        expireLeases();
        if (era != era_)
            return responder.disconnect();
        if (after < data_.compactedRevision || after > data_.revision)
            return responder.send(410, jsonType, "{}");
        if (isDown_)
            return responder.send(503, jsonType, "{}");
        for (const auto& event : data_.events) {
            if (event.item.revision <= after || !event.key.starts_with(prefix))
                continue;
            if (event.isDeletion)
                events.push_back(Json { { "Key", event.key }, { "Revision", event.item.revision }, { "Deleted", true } }.dump());
            else
                events.push_back(toText(event.key, event.item));
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        if (events.empty())
            changed_.wait_for(lock, leasePollInterval);
    }
    responder.send(200, jsonType, fmt::format(R"({{"events":[{}],"CurrentRev":{}}})", fmt::join(events, ","), data_.revision));
}

void StandInPlatformStore::transact(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    auto current = Json::array();
    bool isSatisfied = true;
    for (const auto& comparison : body.value("ExpectedRev", Json::array())) {
        const auto key = comparison.at("Key").get<std::string>();
        const auto found = data_.items.find(key);
        isSatisfied = isSatisfied && (found == data_.items.end() ? 0 : found->second.revision) == comparison.at("Revision").get<std::int64_t>();
        current.push_back(found == data_.items.end() ? Json { { "Key", key }, { "Revision", 0 } } : toJson(key, found->second));
    }
    if (!isSatisfied)
        return responder.send(412, jsonType, Json { { "items", std::move(current) } }.dump());
    for (const auto& item : body.value("Puts", Json::array())) {
        if (item.value("Lease", std::int64_t(0)) != 0 && !data_.leases.contains(item.at("Lease").get<std::int64_t>()))
            return responder.send(404, jsonType, "{}");
    }
    for (const auto& item : body.value("Puts", Json::array()))
        put(item.at("Key"), decodeBase64(item.at("Value").get<std::string>()).value_or(""), item.value("Lease", std::int64_t(0)));
    for (const auto& key : body.value("Remove", Json::array()))
        erase(key);
    if (repliesToDrop_ > 0) {
        --repliesToDrop_;
        return responder.disconnect();
    }
    responder.send(200, jsonType, Json { { "Revision", data_.revision } }.dump());
}

void StandInPlatformStore::grant(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto timeToLive = Json::parse(request.body()).at("TtlMs").get<std::int64_t>();
    const std::scoped_lock lock(mutex_);
    data_.leases[++data_.lastLease] = { std::chrono::milliseconds(timeToLive), std::chrono::steady_clock::now() + std::chrono::milliseconds(timeToLive) };
    responder.send(200, jsonType, Json { { "Lease", data_.lastLease }, { "TtlMs", timeToLive } }.dump());
}

void StandInPlatformStore::keepAlive(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = data_.leases.find(std::stoll(suffixAfter(targetOf(request), "/-/kv-keep/")));
    if (found == data_.leases.end())
        return responder.send(404, jsonType, "{}");
    found->second.expires = std::chrono::steady_clock::now() + found->second.timeToLive;
    responder.send(200, jsonType, Json { { "TtlMs", found->second.timeToLive.count() } }.dump());
}

void StandInPlatformStore::endLease(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = data_.leases.find(std::stoll(suffixAfter(targetOf(request), "/-/kv-lease-end/")));
    if (found == data_.leases.end())
        return responder.send(404, jsonType, "{}");
    found->second.expires = {};
    expireLeases();
    responder.send(200, jsonType, "{}");
}

void StandInPlatformStore::write(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    put(decodePercent(suffixAfter(targetOf(request), "/entries/")), request.body(), 0);
    responder.send(200, jsonType, Json { { "Revision", data_.revision } }.dump());
}

void StandInPlatformStore::remove(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    erase(decodePercent(suffixAfter(targetOf(request), "/entries/")));
    responder.send(200, jsonType, Json { { "Revision", data_.revision } }.dump());
}

void StandInPlatformStore::writeItem(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    put(decodePercent(suffixAfter(targetOf(request), "/items/")), {}, 0, request.body());
    responder.send(200, jsonType, Json { { "Revision", data_.revision } }.dump());
}

void StandInPlatformStore::setFaults(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    isDown_ = body.value("down", isDown_);
    repliesToDrop_ = body.value("lost", repliesToDrop_);
    pageSize_ = body.value("page", pageSize_);
    if (body.value("compact", false)) {
        data_.compactedRevision = ++data_.revision;
        data_.events.clear();
    }
    if (body.value("copy", false))
        copy_ = data_;
    if (body.value("restore", false))
        restoreCopy();
    changed_.notify_all();
    responder.send(200, jsonType, "{}");
}

void StandInPlatformStore::restoreCopy()
{
    data_ = copy_;
    ++era_;
    const auto now = std::chrono::steady_clock::now();
    for (auto& [id, lease] : data_.leases)
        lease.expires = now + lease.timeToLive;
}

void StandInPlatformStore::put(const std::string& key, const std::string& value, std::int64_t lease, const std::string& text)
{
    auto& item = data_.items[key];
    ++data_.revision;
    item = { value, data_.revision, item.created == 0 ? data_.revision : item.created, lease, text };
    data_.events.push_back({ key, item, false });
    changed_.notify_all();
}

void StandInPlatformStore::erase(const std::string& key)
{
    if (data_.items.erase(key) == 0)
        return;
    Item deletion;
    deletion.revision = ++data_.revision;
    data_.events.push_back({ key, deletion, true });
    changed_.notify_all();
}

void StandInPlatformStore::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = data_.leases.begin(); lease != data_.leases.end();) {
        if (lease->second.expires > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : data_.items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
        lease = data_.leases.erase(lease);
    }
}

std::string StandInPlatformStore::toText(const std::string& key, const Item& item) const
{
    return item.text.empty() ? toJson(key, item).dump() : item.text;
}

nlohmann::json StandInPlatformStore::toJson(const std::string& key, const Item& item) const
{
    return { { "Key", key }, { "Value", encodeBase64(item.value) }, { "Revision", item.revision }, { "CreateRev", item.created }, { "Lease", item.lease } };
}

} // namespace Ibisturn::StandIns
