#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace Ibisturn {

/// How often an instance tells others its news.
struct NewsPace {
    /// The period while there are at most `fewPeers` others.
    Duration shortest {};
    std::size_t fewPeers { 1 };
    /// The period is never longer, however many there are: others must not take this instance for silent.
    Duration longest {};
};

/// The period for `peers` others: it grows with their number, so that a large fleet does not spend its links and
/// processors on news. Thread safety: any thread.
Duration newsPeriod(const NewsPace& pace, std::size_t peers);

} // namespace Ibisturn
