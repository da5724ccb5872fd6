#include "StandInPlatformStore.h"

#include <LibCore/Base64.h>

#include <algorithm>

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

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto queryStart = target.find('?');
    auto remaining = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
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
    auto item = after == query.end() ? items_.lower_bound(prefix) : items_.upper_bound(after->second);
    auto items = Json::array();
    for (; item != items_.end() && item->first.starts_with(prefix) && items.size() < pageSize_; ++item)
        items.push_back(toJson(item->first, item->second));
    const bool hasMore = item != items_.end() && item->first.starts_with(prefix);
    responder.send(200, jsonType, Json { { "items", std::move(items) }, { "MorePages", hasMore }, { "CurrentRev", revision_ } }.dump());
}

void StandInPlatformStore::watch(const HttpRequest& /*request*/, const Query& query, Responder& responder)
{
    const auto& prefix = query.at("PathPrefix");
    const auto after = integerParameter(query, "after");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(integerParameter(query, "WaitMs"));
    std::unique_lock lock(mutex_);
    auto events = Json::array();
    while (events.empty()) {
        expireLeases();
        if (after < compactedRevision_)
            return responder.send(410, jsonType, "{}");
        if (isDown_)
            return responder.send(503, jsonType, "{}");
        for (const auto& event : events_) {
            if (event.item.revision <= after || !event.key.starts_with(prefix))
                continue;
            if (event.isDeletion)
                events.push_back({ { "Key", event.key }, { "Revision", event.item.revision }, { "Deleted", true } });
            else
                events.push_back(toJson(event.key, event.item));
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        if (events.empty())
            changed_.wait_for(lock, leasePollInterval);
    }
    responder.send(200, jsonType, Json { { "events", std::move(events) }, { "CurrentRev", revision_ } }.dump());
}

void StandInPlatformStore::transact(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    auto current = Json::array();
    bool isSatisfied = true;
    for (const auto& comparison : body.value("ExpectedRev", Json::array())) {
        const auto key = comparison.at("Key").get<std::string>();
        const auto found = items_.find(key);
        isSatisfied = isSatisfied && (found == items_.end() ? 0 : found->second.revision) == comparison.at("Revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json { { "Key", key }, { "Revision", 0 } } : toJson(key, found->second));
    }
    if (!isSatisfied)
        return responder.send(412, jsonType, Json { { "items", std::move(current) } }.dump());
    for (const auto& item : body.value("Puts", Json::array())) {
        if (item.value("Lease", std::int64_t(0)) != 0 && !leases_.contains(item.at("Lease").get<std::int64_t>()))
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
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::grant(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto timeToLive = Json::parse(request.body()).at("TtlMs").get<std::int64_t>();
    const std::scoped_lock lock(mutex_);
    leases_[++lastLease_] = { std::chrono::milliseconds(timeToLive), std::chrono::steady_clock::now() + std::chrono::milliseconds(timeToLive) };
    responder.send(200, jsonType, Json { { "Lease", lastLease_ }, { "TtlMs", timeToLive } }.dump());
}

void StandInPlatformStore::keepAlive(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = leases_.find(std::stoll(suffixAfter(targetOf(request), "/-/kv-keep/")));
    if (found == leases_.end())
        return responder.send(404, jsonType, "{}");
    found->second.expires = std::chrono::steady_clock::now() + found->second.timeToLive;
    responder.send(200, jsonType, Json { { "TtlMs", found->second.timeToLive.count() } }.dump());
}

void StandInPlatformStore::endLease(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = leases_.find(std::stoll(suffixAfter(targetOf(request), "/-/kv-lease-end/")));
    if (found == leases_.end())
        return responder.send(404, jsonType, "{}");
    found->second.expires = {};
    expireLeases();
    responder.send(200, jsonType, "{}");
}

void StandInPlatformStore::write(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    put(suffixAfter(targetOf(request), "/entries/"), request.body(), 0);
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::remove(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    erase(suffixAfter(targetOf(request), "/entries/"));
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::setFaults(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    isDown_ = body.value("down", isDown_);
    repliesToDrop_ = body.value("lost", repliesToDrop_);
    pageSize_ = body.value("page", pageSize_);
    if (body.value("compact", false)) {
        compactedRevision_ = ++revision_;
        events_.clear();
    }
    changed_.notify_all();
    responder.send(200, jsonType, "{}");
}

void StandInPlatformStore::put(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = items_[key];
    ++revision_;
    item = { value, revision_, item.created == 0 ? revision_ : item.created, lease };
    events_.push_back({ key, item, false });
    changed_.notify_all();
}

void StandInPlatformStore::erase(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    Item deletion;
    deletion.revision = ++revision_;
    events_.push_back({ key, deletion, true });
    changed_.notify_all();
}

void StandInPlatformStore::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.expires > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
        lease = leases_.erase(lease);
    }
}

nlohmann::json StandInPlatformStore::toJson(const std::string& key, const Item& item) const
{
    return { { "Key", key }, { "Value", encodeBase64(item.value) }, { "Revision", item.revision }, { "CreateRev", item.created }, { "Lease", item.lease } };
}

} // namespace Ibisturn::StandIns
