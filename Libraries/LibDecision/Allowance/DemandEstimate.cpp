#include <LibDecision/Allowance/DemandEstimate.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

constexpr double timeConstantSeconds = 20;

} // namespace

void DemandEstimate::add(TokenAmount amount, TimePoint now)
{
    rate_ = std::max(0.0, at(now).count() + amount.count() / timeConstantSeconds);
    updatedAt_ = now;
}

TokensPerSecond DemandEstimate::at(TimePoint now) const
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - updatedAt_).count());
    return TokensPerSecond(rate_ * std::exp(-seconds / timeConstantSeconds));
}

} // namespace Ibisturn
