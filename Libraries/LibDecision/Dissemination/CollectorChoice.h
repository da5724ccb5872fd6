#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Membership/MembershipView.h>

#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// The instances of `region` that accept requests, in the order in which they are preferred as collectors: those with the
/// most processor time first, and those alike in an order that all instances agree on. Thread safety: any thread.
std::vector<InstanceId> rankCollectors(const MembershipView& membership, const RegionId& region);

/// Chooses the collectors of one region to send to. All instances choose the same ones as long as these answer; one that
/// does not is passed over for some time, and the next one in rank takes its place. There are two, so that the loss of one
/// costs no freshness.
/// Thread safety: one thread at a time.
class CollectorChoice {
public:
    /// The number of collectors that an instance reports to.
    static constexpr std::size_t collectorsPerRegion = 2;

    /// Sets the candidates, most preferred first, and how many of them to choose.
    void setCandidates(std::vector<InstanceId> ranked, std::size_t count = collectorsPerRegion);

    /// The collectors to send to now. Each of them is expected to answer.
    std::vector<InstanceId> choose(TimePoint now);

    /// A collector answered.
    void onAnswer(const InstanceId& from);

private:
    struct State {
        /// When the first message was sent that has not been answered.
        std::optional<TimePoint> unansweredSince;
        TimePoint passedOverUntil {};
    };

    std::vector<InstanceId> ranked_;
    std::size_t count_ { collectorsPerRegion };
    std::map<InstanceId, State> states_;
};

} // namespace Ibisturn
