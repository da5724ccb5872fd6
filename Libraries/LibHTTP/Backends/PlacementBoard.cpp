#include <LibHTTP/Backends/PlacementBoard.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

PlacementBoard::PlacementBoard(RegionId here)
    : table_(std::move(here))
{
}

PlacementBoard::Ticket::Ticket(PlacementBoard& board, PlacementId id)
    : board_(board)
    , id_(id)
{
}

PlacementBoard::Ticket::~Ticket()
{
    board_.with([this](PlacementTable& table) { table.end(SteadyClock().now(), id_, outcome_); });
}

void PlacementBoard::Ticket::noteFirstPart(TimePoint now)
{
    board_.with([this, now](PlacementTable& table) { table.onFirstPart(now, id_); });
}

} // namespace Ibisturn
