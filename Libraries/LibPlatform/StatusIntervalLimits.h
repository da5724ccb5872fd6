#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace Ibisturn {

/// How often an instance sends its status to the others.
struct StatusIntervalLimits {
    /// The interval while there are at most `maxPeersAtMin` others.
    Duration min {};
    std::size_t maxPeersAtMin { 1 };
    /// Upper limit for any number of others: they must not take this instance for unreachable.
    Duration max {};
};

/// The interval for `peers` others. It grows with their number, so that status messages do not take up the links and
/// processors of a large fleet. Thread safety: any thread.
Duration statusInterval(const StatusIntervalLimits& limits, std::size_t peers);

} // namespace Ibisturn
