#pragma once

#include <LibCore/OrderedMutex.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <memory>
#include <mutex>

namespace Ibisturn {

/// The table that places requests on the backend servers of a fleet, shared by all workers.
/// Thread safety: all methods from any thread, where the lock order permits the queue's level.
class SharedPlacementTable {
public:
    explicit SharedPlacementTable(RegionId here);

    /// A request placed on a backend server. It counts as load there for the lifetime of the ticket.
    class Ticket {
    public:
        Ticket(SharedPlacementTable& placement, PlacementId id);
        ~Ticket();
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;

        /// Called when the first part of the answer arrives. Later calls have no effect.
        void onFirstPart(TimePoint now);

        /// Records how the request ended, for the destructor.
        void recordEnd(PlacementOutcome outcome) { outcome_ = outcome; }

    private:
        SharedPlacementTable& placement_;
        PlacementId id_;
        PlacementOutcome outcome_ { PlacementOutcome::Unknown };
    };

    /// Calls `use` with the table while holding the lock.
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
