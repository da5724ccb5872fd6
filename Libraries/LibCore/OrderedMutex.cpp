#include <LibCore/OrderedMutex.h>

#include <cstdlib>
#include <vector>

#include <fmt/format.h>

namespace Ibisturn {

#ifdef IBISTURN_CHECK_LOCK_ORDER

namespace {

std::vector<LockLevel>& heldLevels()
{
    thread_local std::vector<LockLevel> levels;
    return levels;
}

void checkAndRecordLock(LockLevel level)
{
    auto& held = heldLevels();
    if (!held.empty() && held.back() >= level) {
        fmt::print(stderr, "lock order: table {} locked while table {} is held\n", static_cast<int>(level), static_cast<int>(held.back()));
        std::abort();
    }
    held.push_back(level);
}

} // namespace

void OrderedMutex::lock()
{
    checkAndRecordLock(level_);
    mutex_.lock();
}

void OrderedMutex::unlock()
{
    mutex_.unlock();
    std::erase(heldLevels(), level_);
}

#else

void OrderedMutex::lock()
{
    mutex_.lock();
}

void OrderedMutex::unlock()
{
    mutex_.unlock();
}

#endif

} // namespace Ibisturn
