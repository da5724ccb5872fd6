#pragma once

#include <LibDecision/Allowance/TokenBucket.h>

namespace Ibisturn {

/// A span that ends in true time no later than `span` does, whatever the drift of the clock that measures it.
/// Thread safety: any thread.
constexpr Duration shortenedByDrift(Duration span)
{
    return span - Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * clockDriftBound)) - Duration(1);
}

/// A span that ends in true time no earlier than `span` does, whatever the drift of the clock that measures it.
/// Thread safety: any thread.
constexpr Duration lengthenedByDrift(Duration span)
{
    return span + Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * clockDriftBound)) + Duration(1);
}

} // namespace Ibisturn
