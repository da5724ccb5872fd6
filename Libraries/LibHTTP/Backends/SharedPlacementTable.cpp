#include <LibHTTP/Backends/SharedPlacementTable.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

SharedPlacementTable::SharedPlacementTable(RegionId here)
    : table_(std::move(here))
{
}

SharedPlacementTable::Ticket::Ticket(SharedPlacementTable& board, PlacementId id)
    : board_(board)
    , id_(id)
{
}

SharedPlacementTable::Ticket::~Ticket()
{
    board_.with([this](PlacementTable& table) { table.end(SteadyClock().now(), id_, outcome_); });
}

void SharedPlacementTable::Ticket::noteFirstPart(TimePoint now)
{
    board_.with([this, now](PlacementTable& table) { table.onFirstPart(now, id_); });
}

} // namespace Ibisturn
