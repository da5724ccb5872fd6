#include <LibDecision/Routing/RouteDemand.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

void RouteDemand::record(TimePoint now, const RouteId& route)
{
    rotate(now);
    ++current_[route];
}

std::size_t RouteDemand::requests(TimePoint now, const RouteId& route) const
{
    const auto countIn = [&route](const Counts& counts) {
        const auto found = counts.find(route);
        return found == counts.end() ? 0 : found->second;
    };
    const auto age = now - begin_;
    if (age >= window * 2)
        return 0;
    return countIn(current_) + (age < window ? countIn(previous_) : 0);
}

std::size_t RouteDemand::size() const
{
    const auto isNew = [this](const auto& entry) { return !current_.contains(entry.first); };
    return current_.size() + static_cast<std::size_t>(std::count_if(previous_.begin(), previous_.end(), isNew));
}

void RouteDemand::rotate(TimePoint now)
{
    const auto age = now - begin_;
    if (age < window)
        return;
    const bool isNextWindow = age < window * 2;
    previous_ = isNextWindow ? std::exchange(current_, {}) : Counts();
    current_.clear();
    begin_ = isNextWindow ? begin_ + window : now;
}

} // namespace Ibisturn
