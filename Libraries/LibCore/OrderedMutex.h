#pragma once

#include <cstdint>
#include <mutex>

namespace Ibisturn {

/// Lock levels of the shared tables. A thread may only acquire locks in ascending order.
enum class LockLevel : std::uint8_t {
    Configuration = 10,
    Membership = 20,
    Allowance = 30,
    Claims = 40,
    Queue = 50,
    Load = 60,
    Connections = 70,
    Traces = 80,
    Memory = 90,
};

/// A mutex of a shared table with a lock level. With IBISTURN_CHECK_LOCK_ORDER, acquiring out of order aborts the process.
/// Thread safety: all methods from any thread.
class OrderedMutex {
public:
    explicit OrderedMutex(LockLevel level)
        : level_(level)
    {
    }

    /// Precondition: this thread holds no lock of this level or a higher one.
    void lock();

    /// Precondition: this thread holds the lock.
    void unlock();

private:
    std::mutex mutex_;
    LockLevel level_;
};

} // namespace Ibisturn
