#pragma once

#include <LibCore/TableLock.h>

#include <memory>
#include <mutex>
#include <utility>

namespace Ibisturn {

/// A shared table that is replaced as a whole; readers keep the value they took.
/// Thread safety: all methods from any thread.
template <typename T>
class SharedValue {
public:
    /// Precondition: none; the value is null until set.
    explicit SharedValue(TableLevel level)
        : lock_(level)
    {
    }

    /// The present value, which may be null. Precondition: the lock order permits this table.
    std::shared_ptr<const T> get() const
    {
        const std::scoped_lock lock(lock_);
        return value_;
    }

    /// Replaces the value. Precondition: the lock order permits this table.
    void set(std::shared_ptr<const T> value)
    {
        const std::scoped_lock lock(lock_);
        value_.swap(value);
    }

private:
    mutable TableLock lock_;
    std::shared_ptr<const T> value_;
};

} // namespace Ibisturn
