#pragma once

#include <LibDecision/Membership/MembershipTracker.h>

#include <mutex>
#include <utility>
#include <vector>

namespace Ibisturn {

/// What forwarded requests showed of other instances since it was last taken.
/// Thread safety: all methods from any thread.
class PeerReachTable {
public:
    struct Note {
        InstanceId instance;
        Reachability reach { Reachability::Reachable };
    };

    /// Notes how a request to `instance` ended.
    void note(const InstanceId& instance, Reachability reach)
    {
        const std::scoped_lock lock(mutex_);
        if (notes_.size() < mostNotes)
            notes_.push_back({ instance, reach });
    }

    /// Takes the notes out, the oldest first.
    std::vector<Note> take()
    {
        const std::scoped_lock lock(mutex_);
        return std::exchange(notes_, {});
    }

private:
    static constexpr std::size_t mostNotes = 1024;

    std::mutex mutex_;
    std::vector<Note> notes_;
};

} // namespace Ibisturn
