#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibDecision/Admission/ConcurrencyLimit.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// A backend server's report of its load; it lags behind and may be missing.
struct LoadReport {
    TimePoint takenAt;
    /// Requests running and queued there, from all instances.
    std::uint32_t requests { 0 };
    /// The queued ones among them.
    std::uint32_t waiting { 0 };
};

/// How much of a backend server's capacity a request may use.
enum class CapacityClass : std::uint8_t {
    /// The workspace has requests running; some slots stay reserved for idle workspaces.
    Ordinary,
    /// The workspace has no requests running; it may use the reserved slots.
    IdleWorkspace,
};

/// The backend servers of one route in one data centre, with their load as estimated by one instance: the last report,
/// corrected by the requests that this instance has sent and seen finish since.
/// Look-ups and updates take logarithmic time in the number of backend servers.
/// Thread safety: one thread at a time.
class BackendPool {
public:
    using Index = std::size_t;

    /// Precondition: the ids are distinct.
    BackendPool(const std::vector<BackendServerId>& servers, std::uint32_t initialLimit, std::uint32_t maxLimit);

    std::size_t size() const { return servers_.size(); }

    /// Precondition: `index` < size().
    const BackendServerId& id(Index index) const { return servers_.at(index).id; }

    /// Sets whether this instance is the primary sender of its data centre for the backend server, which may use all slots.
    /// The other instances leave a margin, since they learn of its load only from lagging reports.
    void setPrimary(Index index, bool isPrimary);

    /// Applies a load report; it is ignored unless it is newer than the last one.
    void report(TimePoint now, Index index, const LoadReport& report);

    /// Records that a request was sent.
    void begin(TimePoint now, Index index);

    /// Records that a request ended.
    void finish(TimePoint now, Index index, Duration timeToFirstToken, ServiceSignal signal);

    /// Excludes a backend server from being chosen, or includes it again.
    void setAvailable(Index index, bool isAvailable);

    /// Whether the backend server can take one more request from this instance.
    bool hasCapacity(Index index, CapacityClass capacityClass) const;

    /// The estimated number of requests on a backend server.
    std::uint32_t load(Index index) const { return servers_.at(index).load(); }

    /// The number of requests in the last report, without correction.
    std::uint32_t reportedLoad(Index index) const { return servers_.at(index).reportedRequests; }

    /// The mean estimated load of the available backend servers; zero if there are none.
    double meanLoad() const;

    /// The available backend server with capacity that has the lowest sum of estimated load and margin, if any.
    std::optional<Index> leastLoaded(CapacityClass capacityClass) const;

    /// The first backend server on a consistent-hash ring, starting at the owner of `hash`, that has capacity and at most the
    /// given load.
    std::optional<Index> firstOnRing(std::uint64_t hash, std::uint32_t maxLoad, CapacityClass capacityClass) const;

private:
    struct Server {
        BackendServerId id;
        ConcurrencyLimit limit;
        TimePoint reportedAt {};
        std::uint32_t reportedRequests { 0 };
        /// When this instance's requests that the last report doesn't cover were sent and finished.
        std::deque<TimePoint> sentAfterReport;
        std::deque<TimePoint> finishedAfterReport;
        std::uint32_t outstanding { 0 };
        bool isAvailable { true };
        bool isPrimary { true };
        /// Number of requests that it runs concurrently, inferred when it queues requests; zero until then.
        std::uint32_t slots { 0 };
        TimePoint slotsUpdatedAt {};

        std::uint32_t load() const;
        bool hasCapacity(CapacityClass capacityClass) const;
        std::uint32_t margin() const;
        std::uint32_t rank() const { return load() + margin(); }
        void updateSlots(TimePoint now, const LoadReport& report);
        void discardUntil(TimePoint time);
        void discardExpiredReport(TimePoint now);
    };
    struct LoadOrder {
        std::uint32_t rank;
        Index index;
        auto operator<=>(const LoadOrder&) const = default;
    };
    struct RingPoint {
        std::uint64_t hash;
        Index index;
        auto operator<=>(const RingPoint&) const = default;
    };

    template <typename Change>
    void update(Index index, Change change);

    std::vector<Server> servers_;
    std::vector<RingPoint> ring_;
    std::set<LoadOrder> byLoad_;
    std::uint64_t totalLoad_ { 0 };
};

} // namespace Ibisturn
