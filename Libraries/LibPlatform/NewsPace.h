#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace Ibisturn {

/// How often an instance sends its status to the others.
struct NewsPace {
    /// The interval while there are at most `fewPeers` others.
    Duration shortest {};
    std::size_t fewPeers { 1 };
    /// Upper limit for any number of others: they must not take this instance for unreachable.
    Duration longest {};
};

/// The interval for `peers` others. It grows with their number, so that status messages do not take up the links and
/// processors of a large fleet. Thread safety: any thread.
Duration newsPeriod(const NewsPace& pace, std::size_t peers);

} // namespace Ibisturn
