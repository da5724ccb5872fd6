#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/Membership/EntryDirectory.h>

#include <string_view>
#include <vector>

namespace Ibisturn {

/// What an answer of the directory to callers rests on.
struct EntryAnswer {
    std::string_view host;
    const CallerLocation& caller;
    const HostRegions& regions;
    const std::vector<Member>& entries;
    /// Null if the instance does not know the fleet yet.
    const MembershipView* membership { nullptr };
    /// The configuration from which `regions` are taken; empty if there is none yet.
    Revision configuration;
};

/// Counts the answers of the directory, and logs those that name nobody or lead callers out of their region.
/// Thread safety: any thread.
class EntryLog {
public:
    /// Precondition: `metrics` outlives the log.
    explicit EntryLog(Metrics& metrics)
        : metrics_(metrics)
    {
    }

    /// Records an answer.
    void record(const EntryAnswer& answer) const;

private:
    Metrics& metrics_;
};

} // namespace Ibisturn
