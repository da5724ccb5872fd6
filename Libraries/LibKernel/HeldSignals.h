#pragma once

namespace Ibisturn {

/// Holds SIGHUP, SIGINT and SIGTERM back until their handling is installed, so that they don't end a process that starts.
/// Thread safety: the first thread of the process, before there is another.
class HeldSignals {
public:
    HeldSignals();
    ~HeldSignals();
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;

    /// Delivers the signals that arrived meanwhile, and no longer holds any back.
    void release();
};

} // namespace Ibisturn
