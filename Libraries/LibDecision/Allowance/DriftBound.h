#pragma once

#include <LibDecision/Allowance/TokenBucket.h>

namespace Ibisturn {

/// A span that, measured by a clock within the drift bound, lasts no longer than `span` does in true time.
/// Thread safety: any thread.
constexpr Duration shortenedByDrift(Duration span)
{
    return span - Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * clockDriftBound)) - Duration(1);
}

/// A span that, measured by a clock within the drift bound, lasts at least as long as `span` does in true time.
/// Thread safety: any thread.
constexpr Duration lengthenedByDrift(Duration span)
{
    return span + Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * clockDriftBound)) + Duration(1);
}

} // namespace Ibisturn
