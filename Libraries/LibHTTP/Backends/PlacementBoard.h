#pragma once

#include <LibCore/OrderedMutex.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <memory>
#include <mutex>

namespace Ibisturn {

/// The placement of requests on the backend servers of a fleet, for all workers.
/// Thread safety: all methods from any thread, where the lock order permits the queue's level.
class PlacementBoard {
public:
    explicit PlacementBoard(RegionId here);

    /// A request on a backend server; it counts there while the ticket lives.
    class Ticket {
    public:
        Ticket(PlacementBoard& board, PlacementId id);
        ~Ticket();
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;

        /// The first part of the answer arrived. Later calls change nothing.
        void noteFirstPart(TimePoint now);

        /// How the request ended, before the ticket goes.
        void noteEnd(PlacementOutcome outcome) { outcome_ = outcome; }

    private:
        PlacementBoard& board_;
        PlacementId id_;
        PlacementOutcome outcome_ { PlacementOutcome::Unknown };
    };

    /// Calls `use` with the table, locked.
    template <typename Use>
    auto with(Use use)
    {
        const std::scoped_lock lock(lock_);
        return use(table_);
    }

private:
    OrderedMutex lock_ { LockLevel::Queue };
    PlacementTable table_;
};

} // namespace Ibisturn
