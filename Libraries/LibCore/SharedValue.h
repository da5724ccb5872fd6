#pragma once

#include <LibCore/OrderedMutex.h>

#include <memory>
#include <mutex>
#include <utility>

namespace Ibisturn {

/// A shared immutable value that is replaced as a whole; readers keep the version they obtained.
/// Thread safety: all methods from any thread.
template <typename T>
class SharedValue {
public:
    /// The value is null until it is set.
    explicit SharedValue(LockLevel level)
        : mutex_(level)
    {
    }

    /// The current value, which may be null. Precondition: the lock order permits locking `level` now.
    std::shared_ptr<const T> get() const
    {
        const std::scoped_lock lock(mutex_);
        return value_;
    }

    /// Replaces the value. Precondition: the lock order permits locking `level` now.
    void set(std::shared_ptr<const T> value)
    {
        const std::scoped_lock lock(mutex_);
        value_.swap(value);
    }

private:
    mutable OrderedMutex mutex_;
    std::shared_ptr<const T> value_;
};

} // namespace Ibisturn
