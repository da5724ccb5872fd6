#pragma once

#include "StandInServer.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

/// An in-memory implementation of the platform's metadata store, following its published protocol. Tests make the writes
/// of operators and replicas with `PUT` and `DELETE /entries/KEY`, and those of an odd writer with `PUT /items/KEY`, whose body is what listings
/// and watches then show as the item; a KEY may be percent-encoded. They inject faults with `POST /faults`: `down` refuses
/// every call, `lost` drops the replies of this many transactions after they took effect, `compact` discards the
/// history, `page` sets the maximum page size of listings, `copy` makes a copy of everything, and `restore` goes back to the last
/// copy in a new era: what was written since is lost, and revisions and leases are given out again.
/// Thread safety: all methods from any thread.
class StandInPlatformStore {
public:
    StandInPlatformStore();

    /// Responds to one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    struct Item {
        std::string value;
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
        /// Shown in place of the item's JSON unless it is empty.
        std::string text;
    };
    struct Event {
        std::string key;
        Item item;
        bool isDeletion { false };
    };
    struct Lease {
        std::chrono::milliseconds timeToLive {};
        std::chrono::steady_clock::time_point expires;
    };
    /// All that is lost or kept together when the store goes back to a copy.
    struct Data {
        std::int64_t revision { 7 };
        std::int64_t compactedRevision { 0 };
        std::int64_t lastLease { 100 };
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::vector<Event> events;
    };
    using Query = std::map<std::string, std::string>;
    using Handle = void (StandInPlatformStore::*)(const HttpRequest&, const Query&, Responder&);
    struct Operation {
        std::string_view method;
        std::string_view pathPrefix;
        Handle handle;
    };
    static const std::vector<Operation>& operations();

    void range(const HttpRequest& request, const Query& query, Responder& responder);
    void watch(const HttpRequest& request, const Query& query, Responder& responder);
    void transact(const HttpRequest& request, const Query& query, Responder& responder);
    void grant(const HttpRequest& request, const Query& query, Responder& responder);
    void keepAlive(const HttpRequest& request, const Query& query, Responder& responder);
    void endLease(const HttpRequest& request, const Query& query, Responder& responder);
    void write(const HttpRequest& request, const Query& query, Responder& responder);
    void remove(const HttpRequest& request, const Query& query, Responder& responder);
    void writeItem(const HttpRequest& request, const Query& query, Responder& responder);
    void setFaults(const HttpRequest& request, const Query& query, Responder& responder);
    void restoreCopy();
    void put(const std::string& key, const std::string& value, std::int64_t lease, const std::string& text = {});
    void erase(const std::string& key);
    void expireLeases();
    std::string toText(const std::string& key, const Item& item) const;
    nlohmann::json toJson(const std::string& key, const Item& item) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    Data data_;
    Data copy_;
    std::int64_t era_ { 1 };
    bool isDown_ { false };
    std::uint32_t repliesToDrop_ { 0 };
    std::size_t pageSize_ { 500 };
};

} // namespace Ibisturn::StandIns
