#pragma once

#include <cstdint>
#include <mutex>

namespace Ibisturn {

/// The shared tables in the order in which one thread may lock them: upwards only.
enum class TableLevel : std::uint8_t {
    Configuration = 10,
    Membership = 20,
    Allowance = 30,
    Claims = 40,
    Queue = 50,
    Load = 60,
    Connections = 70,
    Traces = 80,
};

/// A mutex of a shared table. With IBISTURN_CHECK_LOCK_ORDER, locking out of order ends the process.
/// Thread safety: all methods from any thread.
class TableLock {
public:
    /// Precondition: none.
    explicit TableLock(TableLevel level)
        : level_(level)
    {
    }

    /// Precondition: this thread holds no table of this level or a later one.
    void lock();

    /// Precondition: this thread holds the lock.
    void unlock();

private:
    std::mutex mutex_;
    TableLevel level_;
};

} // namespace Ibisturn
