#include "StandInStore.h"

#include <algorithm>
#include <thread>

#include <openssl/evp.h>

namespace Ibisturn::StandIns {

namespace {

constexpr auto watchPollInterval = std::chrono::milliseconds(100);
constexpr auto progressPeriod = std::chrono::seconds(5);

std::string toBase64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes(text.size() + 1, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const auto padding = std::count(text.begin(), text.end(), '=');
    bytes.resize(static_cast<std::size_t>(std::max<std::int64_t>(0, length - padding)));
    return bytes;
}

std::string bytesField(const nlohmann::json& object, const char* name)
{
    return fromBase64(object.value(name, ""));
}

std::int64_t integerField(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

bool isInRange(const std::string& key, const std::string& first, const std::string& end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

} // namespace

StandInStore::StandInStore(double callsPerSecond)
    : callsPerSecond_(callsPerSecond)
    , availableCalls_(callsPerSecond)
    , lastRefill_(std::chrono::steady_clock::now())
{
}

void StandInStore::handle(const HttpRequest& request, Responder& responder)
{
    const std::string target(request.target());
    if (target == "/faults")
        return setFaults(request, responder);
    if (target == "/calls") {
        const std::scoped_lock lock(mutex_);
        return responder.send(200, "application/json", nlohmann::json { { "calls", callCount_ } }.dump());
    }
    StoreFaults faults;
    {
        const std::scoped_lock lock(mutex_);
        faults = faults_;
    }
    if (faults.delayMilliseconds > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMilliseconds));
    if (faults.isDown)
        return responder.disconnect();
    if (!admitCall())
        return responder.send(429, "application/json", R"({"error":"too many requests"})");
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return responder.send(400, "application/json", R"({"error":"not JSON"})");
    if (target == "/v3/watch")
        return watch(body.value("create_request", nlohmann::json::object()), responder);
    using Method = nlohmann::json (StandInStore::*)(const nlohmann::json&);
    static const std::map<std::string, Method> methods {
        { "/v3/kv/range", &StandInStore::range },
        { "/v3/kv/txn", &StandInStore::transact },
        { "/v3/lease/grant", &StandInStore::grant },
        { "/v3/lease/keepalive", &StandInStore::keepAlive },
        { "/v3/lease/revoke", &StandInStore::revoke },
    };
    const auto method = methods.find(target);
    if (method == methods.end())
        return responder.send(404, "application/json", R"({"error":"unknown path"})");
    bool isReplyDropped = false;
    nlohmann::json reply;
    {
        const std::scoped_lock lock(mutex_);
        expireLeases();
        reply = (this->*method->second)(body);
        if (target == "/v3/kv/txn" && faults_.repliesToDrop > 0) {
            --faults_.repliesToDrop;
            isReplyDropped = true;
        }
    }
    changed_.notify_all();
    if (isReplyDropped)
        return responder.disconnect();
    responder.send(200, "application/json", reply.dump());
}

bool StandInStore::admitCall()
{
    const std::scoped_lock lock(mutex_);
    ++callCount_;
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - lastRefill_;
    lastRefill_ = now;
    availableCalls_ = std::min(callsPerSecond_, availableCalls_ + elapsed.count() * callsPerSecond_);
    if (availableCalls_ < 1)
        return false;
    availableCalls_ -= 1;
    return true;
}

void StandInStore::setFaults(const HttpRequest& request, Responder& responder)
{
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return responder.send(400, "application/json", R"({"error":"not JSON"})");
    {
        const std::scoped_lock lock(mutex_);
        faults_.isDown = body.value("down", false);
        faults_.delayMilliseconds = body.value("delay_ms", 0U);
        faults_.repliesToDrop = body.value("lose_replies", 0U);
    }
    changed_.notify_all();
    responder.send(200, "application/json", "{}");
}

nlohmann::json StandInStore::range(const nlohmann::json& request)
{
    const auto first = bytesField(request, "key");
    const auto end = bytesField(request, "range_end");
    auto entries = nlohmann::json::array();
    for (const auto& [key, entry] : entries_) {
        if (!isInRange(key, first, end))
            continue;
        entries.push_back({ { "key", toBase64(key) }, { "value", toBase64(entry.value) }, { "create_revision", std::to_string(entry.created) },
            { "mod_revision", std::to_string(entry.modified) }, { "lease", std::to_string(entry.lease) } });
    }
    const auto count = std::to_string(entries.size());
    return { { "header", header() }, { "kvs", std::move(entries) }, { "count", count } };
}

nlohmann::json StandInStore::transact(const nlohmann::json& request)
{
    const auto comparisons = request.value("compare", nlohmann::json::array());
    const bool succeeded = std::all_of(comparisons.begin(), comparisons.end(), [this](const auto& comparison) { return isSatisfied(comparison); });
    const auto operations = request.value(succeeded ? "success" : "failure", nlohmann::json::array());
    const auto isWrite = [](const nlohmann::json& operation) { return !operation.contains("request_range"); };
    if (std::any_of(operations.begin(), operations.end(), isWrite))
        ++revision_;
    auto responses = nlohmann::json::array();
    for (const auto& operation : operations)
        responses.push_back(applyOperation(operation, revision_));
    return { { "header", header() }, { "succeeded", succeeded }, { "responses", std::move(responses) } };
}

nlohmann::json StandInStore::grant(const nlohmann::json& request)
{
    const std::chrono::seconds timeToLive(integerField(request, "TTL"));
    const auto id = ++lastLease_;
    leases_[id] = { timeToLive, std::chrono::steady_clock::now() + timeToLive };
    return { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", std::to_string(timeToLive.count()) } };
}

nlohmann::json StandInStore::keepAlive(const nlohmann::json& request)
{
    const auto found = leases_.find(integerField(request, "ID"));
    const bool isKnown = found != leases_.end();
    if (isKnown)
        found->second.expires = std::chrono::steady_clock::now() + found->second.timeToLive;
    const auto seconds = isKnown ? found->second.timeToLive.count() : 0;
    return { { "result", { { "header", header() }, { "ID", std::to_string(integerField(request, "ID")) }, { "TTL", std::to_string(seconds) } } } };
}

nlohmann::json StandInStore::revoke(const nlohmann::json& request)
{
    const auto found = leases_.find(integerField(request, "ID"));
    if (found != leases_.end())
        found->second.expires = std::chrono::steady_clock::time_point::min();
    expireLeases();
    return { { "header", header() } };
}

void StandInStore::watch(const nlohmann::json& request, Responder& responder)
{
    const auto first = bytesField(request, "key");
    const auto end = bytesField(request, "range_end");
    auto nextRevision = std::max<std::int64_t>(1, integerField(request, "start_revision"));
    auto lastProgress = std::chrono::steady_clock::now();
    responder.beginChunked("application/json");
    responder.sendChunk(nlohmann::json { { "result", { { "header", header() }, { "created", true } } } }.dump() + "\n");
    std::unique_lock lock(mutex_);
    while (!faults_.isDown) {
        expireLeases();
        auto events = nlohmann::json::array();
        for (const auto& event : events_) {
            if (event.entry.modified < nextRevision || !isInRange(event.key, first, end))
                continue;
            events.push_back({ { "type", event.isDeletion ? "DELETE" : "PUT" },
                { "kv", { { "key", toBase64(event.key) }, { "value", toBase64(event.entry.value) }, { "mod_revision", std::to_string(event.entry.modified) } } } });
        }
        const auto now = std::chrono::steady_clock::now();
        const bool isDue = !events.empty() || now - lastProgress > progressPeriod;
        const auto line = nlohmann::json { { "result", { { "header", header() }, { "events", std::move(events) } } } }.dump() + "\n";
        nextRevision = revision_ + 1;
        if (isDue) {
            lastProgress = now;
            lock.unlock();
            if (!responder.sendChunk(line))
                return;
            lock.lock();
        }
        changed_.wait_for(lock, watchPollInterval);
        lock.unlock();
        const bool isDisconnected = responder.isDisconnected();
        lock.lock();
        if (isDisconnected)
            return responder.disconnect();
    }
    responder.disconnect();
}

bool StandInStore::isSatisfied(const nlohmann::json& comparison) const
{
    const auto found = entries_.find(bytesField(comparison, "key"));
    const bool exists = found != entries_.end();
    const auto target = comparison.value("target", "");
    if (target == "VALUE")
        return exists && found->second.value == bytesField(comparison, "value");
    const bool isCreation = target == "CREATE";
    const auto expected = integerField(comparison, isCreation ? "create_revision" : "mod_revision");
    const auto actual = !exists ? 0 : isCreation ? found->second.created
                                                 : found->second.modified;
    const auto result = comparison.value("result", "EQUAL");
    if (result == "GREATER")
        return actual > expected;
    return result == "LESS" ? actual < expected : actual == expected;
}

nlohmann::json StandInStore::applyOperation(const nlohmann::json& operation, std::int64_t revision)
{
    if (operation.contains("request_range"))
        return { { "response_range", range(operation["request_range"]) } };
    if (operation.contains("request_delete_range")) {
        erase(bytesField(operation["request_delete_range"], "key"), revision);
        return { { "response_delete_range", { { "header", header() } } } };
    }
    const auto& put = operation.at("request_put");
    const auto key = bytesField(put, "key");
    auto& entry = entries_[key];
    if (entry.created == 0)
        entry.created = revision;
    entry.value = bytesField(put, "value");
    entry.modified = revision;
    entry.lease = integerField(put, "lease");
    events_.push_back({ key, entry, false });
    return { { "response_put", { { "header", header() } } } };
}

void StandInStore::erase(const std::string& key, std::int64_t revision)
{
    if (entries_.erase(key) == 0)
        return;
    Entry deletion;
    deletion.modified = revision;
    events_.push_back({ key, deletion, true });
}

void StandInStore::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.expires > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, entry] : entries_) {
            if (entry.lease == lease->first)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++revision_;
        for (const auto& key : keys)
            erase(key, revision_);
        lease = leases_.erase(lease);
    }
}

nlohmann::json StandInStore::header() const
{
    return { { "revision", std::to_string(revision_) } };
}

} // namespace Ibisturn::StandIns
