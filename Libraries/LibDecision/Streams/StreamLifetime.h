#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/Clock.h>

namespace Ibisturn {

/// How long a stream can last, with all resumptions: twice the longest timeout of the routes whose streams may be resumed, and at least
/// a few seconds. The caller's attempts may each take up to the timeout. Thread safety: any thread.
Duration streamLifetimeOf(const Snapshot& snapshot);

} // namespace Ibisturn
