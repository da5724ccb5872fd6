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

/// A backend server's own report of its load; it lags and may be missing.
struct LoadReport {
    TimePoint takenAt;
    /// Requests running and queued there, from all instances.
    std::uint32_t requests { 0 };
    /// Those of them that wait there for a slot.
    std::uint32_t waiting { 0 };
};

/// Whose request asks for room on a backend server.
enum class RoomClass : std::uint8_t {
    /// A workspace that has requests running; it leaves some slots free.
    Ordinary,
    /// A workspace that has nothing running; it may use the slots that the others leave free.
    IdleWorkspace,
};

/// The backend servers of one route in one data centre, with what one instance knows of their load. The
/// load is the last report corrected by what this instance has sent and seen finish since.
/// Look-ups and updates take a time that grows with the logarithm of the backend servers.
/// Thread safety: one thread at a time.
class BackendPool {
public:
    using Index = std::size_t;

    /// Precondition: the ids are distinct.
    BackendPool(const std::vector<BackendServerId>& servers, std::uint32_t initialLimit, std::uint32_t mostLimit);

    /// The number of backend servers.
    std::size_t size() const { return servers_.size(); }

    /// The id at `index`. Precondition: `index` < size().
    const BackendServerId& id(Index index) const { return servers_.at(index).id; }

    /// Says whether this instance is the one of its data centre that fills the backend server. The others
    /// leave a margin there, since they know of its load only by reports that lag.
    void setPrimary(Index index, bool isPrimary);

    /// Takes a report; one that is not newer than the last is ignored.
    void report(TimePoint now, Index index, const LoadReport& report);

    /// Notes that a request was sent.
    void begin(TimePoint now, Index index);

    /// Notes that a request ended.
    void finish(TimePoint now, Index index, Duration firstToken, ServiceSignal signal);

    /// Keeps a backend server from being chosen, or lets it be chosen again.
    void setAvailable(Index index, bool isAvailable);

    /// Whether the backend server may take one more request from this instance.
    bool hasRoom(Index index, RoomClass room) const;

    /// The estimated requests on a backend server.
    std::uint32_t load(Index index) const { return servers_.at(index).load(); }

    /// What the last report said, without correction.
    std::uint32_t reportedLoad(Index index) const { return servers_.at(index).reported; }

    /// The mean of the estimated loads of available backend servers; zero if there is none.
    double meanLoad() const;

    /// The available backend server with the least estimated load and margin, if one has room.
    std::optional<Index> leastLoaded(RoomClass room) const;

    /// Available backend servers from the owner of `hash` on along a consistent-hash ring, each once.
    std::optional<Index> firstOnRing(std::uint64_t hash, std::uint32_t mostLoad, RoomClass room) const;

private:
    struct Server {
        BackendServerId id;
        ConcurrencyLimit limit;
        TimePoint reportedAt {};
        std::uint32_t reported { 0 };
        /// When this instance's requests were sent and finished that the report can't know of.
        std::deque<TimePoint> sentSince;
        std::deque<TimePoint> finishedSince;
        std::uint32_t outstanding { 0 };
        bool isAvailable { true };
        bool isPrimary { true };
        /// Requests that it runs at a time, seen when it let others wait; zero until then.
        std::uint32_t slots { 0 };
        TimePoint slotsSeenAt {};

        std::uint32_t load() const;
        bool hasRoom(RoomClass room) const;
        std::uint32_t margin() const;
        std::uint32_t rank() const { return load() + margin(); }
        void learnSlots(TimePoint now, const LoadReport& report);
        void forgetUntil(TimePoint time);
        void forgetOldReport(TimePoint now);
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
