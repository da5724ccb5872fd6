#include <LibHTTP/Backends/SharedPlacementTable.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

SharedPlacementTable::SharedPlacementTable(RegionId here)
    : table_(std::move(here))
{
}

SharedPlacementTable::Ticket::Ticket(SharedPlacementTable& placement, PlacementId id)
    : placement_(placement)
    , id_(id)
{
}

SharedPlacementTable::Ticket::~Ticket()
{
    placement_.with([this](PlacementTable& table) { table.end(SteadyClock().now(), id_, outcome_); });
}

void SharedPlacementTable::Ticket::onFirstPart(TimePoint now)
{
    placement_.with([this, now](PlacementTable& table) { table.onFirstPart(now, id_); });
}

} // namespace Ibisturn
