#include "StandInPlatformStore.h"

#include <LibCore/Base64.h>

#include <algorithm>

namespace Ibisturn::StandIns {

namespace {

using Json = nlohmann::json;

constexpr const char* jsonType = "application/json";
/// How often leases are checked for expiry while a watch waits.
constexpr auto leasePoll = std::chrono::milliseconds(50);

std::string_view viewOf(const HttpRequest& request)
{
    return { request.target().data(), request.target().size() };
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto question = target.find('?');
    auto rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
    return query;
}

std::int64_t numberOf(const std::map<std::string, std::string>& query, const char* name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoll(found->second);
}

std::string lastPart(std::string_view target, std::string_view prefix)
{
    return std::string(target.substr(prefix.size()));
}

} // namespace

StandInPlatformStore::StandInPlatformStore() = default;

const std::vector<StandInPlatformStore::Call>& StandInPlatformStore::calls()
{
    static const std::vector<Call> calls {
        { "GET", "/-/kv-range", &StandInPlatformStore::range },
        { "GET", "/-/kv-watch", &StandInPlatformStore::watch },
        { "POST", "/-/kv-txn", &StandInPlatformStore::transact },
        { "POST", "/-/kv-lease", &StandInPlatformStore::grant },
        { "POST", "/-/kv-keep/", &StandInPlatformStore::keep },
        { "DELETE", "/-/kv-lease-end/", &StandInPlatformStore::endLease },
        { "PUT", "/entries/", &StandInPlatformStore::write },
        { "DELETE", "/entries/", &StandInPlatformStore::remove },
        { "POST", "/faults", &StandInPlatformStore::setFaults },
    };
    return calls;
}

void StandInPlatformStore::handle(const HttpRequest& request, Responder& responder)
{
    const auto target = viewOf(request);
    const auto method = request.method_string();
    for (const auto& call : calls()) {
        const bool isCall = call.method == std::string_view(method.data(), method.size()) && target.starts_with(call.pathPrefix);
        if (!isCall)
            continue;
        {
            const std::scoped_lock lock(mutex_);
            expireLeases();
            if (isDown_ && target.starts_with("/-/"))
                return responder.send(503, jsonType, "{}");
        }
        return (this->*call.handle)(request, queryOf(target), responder);
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
        items.push_back(show(item->first, item->second));
    const bool hasMore = item != items_.end() && item->first.starts_with(prefix);
    responder.send(200, jsonType, Json { { "items", std::move(items) }, { "MorePages", hasMore }, { "CurrentRev", revision_ } }.dump());
}

void StandInPlatformStore::watch(const HttpRequest& /*request*/, const Query& query, Responder& responder)
{
    const auto& prefix = query.at("PathPrefix");
    const auto after = numberOf(query, "after");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(query, "WaitMs"));
    std::unique_lock lock(mutex_);
    auto events = Json::array();
    while (events.empty()) {
        expireLeases();
        if (after < compacted_)
            return responder.send(410, jsonType, "{}");
        if (isDown_)
            return responder.send(503, jsonType, "{}");
        for (const auto& event : events_) {
            if (event.item.revision <= after || !event.key.starts_with(prefix))
                continue;
            if (event.isDeletion)
                events.push_back({ { "Key", event.key }, { "Revision", event.item.revision }, { "Deleted", true } });
            else
                events.push_back(show(event.key, event.item));
        }
        if (std::chrono::steady_clock::now() >= end)
            break;
        if (events.empty())
            changed_.wait_for(lock, leasePoll);
    }
    responder.send(200, jsonType, Json { { "events", std::move(events) }, { "CurrentRev", revision_ } }.dump());
}

void StandInPlatformStore::transact(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    auto current = Json::array();
    bool holds = true;
    for (const auto& row : body.value("ExpectedRev", Json::array())) {
        const auto key = row.at("Key").get<std::string>();
        const auto found = items_.find(key);
        holds = holds && (found == items_.end() ? 0 : found->second.revision) == row.at("Revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json { { "Key", key }, { "Revision", 0 } } : show(key, found->second));
    }
    if (!holds)
        return responder.send(412, jsonType, Json { { "items", std::move(current) } }.dump());
    for (const auto& item : body.value("Puts", Json::array())) {
        if (item.value("Lease", std::int64_t(0)) != 0 && !leases_.contains(item.at("Lease").get<std::int64_t>()))
            return responder.send(404, jsonType, "{}");
    }
    for (const auto& item : body.value("Puts", Json::array()))
        put(item.at("Key"), decodeBase64(item.at("Value").get<std::string>()).value_or(""), item.value("Lease", std::int64_t(0)));
    for (const auto& key : body.value("Remove", Json::array()))
        erase(key);
    if (repliesToLose_ > 0) {
        --repliesToLose_;
        return responder.cut();
    }
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::grant(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto length = Json::parse(request.body()).at("TtlMs").get<std::int64_t>();
    const std::scoped_lock lock(mutex_);
    leases_[++lastLease_] = { std::chrono::milliseconds(length), std::chrono::steady_clock::now() + std::chrono::milliseconds(length) };
    responder.send(200, jsonType, Json { { "Lease", lastLease_ }, { "TtlMs", length } }.dump());
}

void StandInPlatformStore::keep(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = leases_.find(std::stoll(lastPart(viewOf(request), "/-/kv-keep/")));
    if (found == leases_.end())
        return responder.send(404, jsonType, "{}");
    found->second.end = std::chrono::steady_clock::now() + found->second.length;
    responder.send(200, jsonType, Json { { "TtlMs", found->second.length.count() } }.dump());
}

void StandInPlatformStore::endLease(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    const auto found = leases_.find(std::stoll(lastPart(viewOf(request), "/-/kv-lease-end/")));
    if (found == leases_.end())
        return responder.send(404, jsonType, "{}");
    found->second.end = {};
    expireLeases();
    responder.send(200, jsonType, "{}");
}

void StandInPlatformStore::write(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    put(lastPart(viewOf(request), "/entries/"), request.body(), 0);
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::remove(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const std::scoped_lock lock(mutex_);
    erase(lastPart(viewOf(request), "/entries/"));
    responder.send(200, jsonType, Json { { "Revision", revision_ } }.dump());
}

void StandInPlatformStore::setFaults(const HttpRequest& request, const Query& /*query*/, Responder& responder)
{
    const auto body = Json::parse(request.body());
    const std::scoped_lock lock(mutex_);
    isDown_ = body.value("down", isDown_);
    repliesToLose_ = body.value("lost", repliesToLose_);
    pageSize_ = body.value("page", pageSize_);
    if (body.value("compact", false)) {
        compacted_ = ++revision_;
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
    Item gone;
    gone.revision = ++revision_;
    events_.push_back({ key, gone, true });
    changed_.notify_all();
}

void StandInPlatformStore::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.end > now) {
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

nlohmann::json StandInPlatformStore::show(const std::string& key, const Item& item) const
{
    return { { "Key", key }, { "Value", encodeBase64(item.value) }, { "Revision", item.revision }, { "CreateRev", item.created }, { "Lease", item.lease } };
}

} // namespace Ibisturn::StandIns
