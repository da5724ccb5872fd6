#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Ibisturn {

using HeldAnswerId = Quantity<struct HeldAnswerTag, std::uint64_t>;

/// The answers of which an instance holds bytes because their callers read more slowly than the backend servers send. When memory
/// runs out, it chooses the one that has been held longest without progress.
/// Precondition of all methods: `now` does not go backwards. Thread safety: one thread at a time.
class HeldAnswers {
public:
    /// An answer of which a part was written within this time is not given up. Lost packets delay a caller that reads by about
    /// a second.
    static constexpr Duration minStall = std::chrono::milliseconds(1500);
    /// Without a call for this long, the instance itself did not run; callers could not make progress meanwhile.
    static constexpr Duration maxGap = std::chrono::milliseconds(2500);

    /// Adds an answer that is held from now on.
    HeldAnswerId add(TimePoint now);

    /// Records that the caller took a part of the answer. Ids that are not held are ignored.
    void onProgress(TimePoint now, HeldAnswerId id);

    /// Removes an answer that is no longer held.
    void remove(HeldAnswerId id);

    /// Must be called at least once a second, so that a pause of the instance is noticed.
    void advance(TimePoint now);

    /// The answer that has been held longest without progress; empty if all of them progressed within `minStall`.
    std::optional<HeldAnswerId> longestStalled(TimePoint now);

    std::size_t size() const { return progressAt_.size(); }

private:
    std::map<HeldAnswerId, TimePoint> progressAt_;
    std::set<std::pair<TimePoint, HeldAnswerId>> byProgress_;
    std::uint64_t lastId_ { 0 };
    TimePoint lastCallAt_ {};
    /// Since when the instance has been running without a pause.
    TimePoint runningSince_ {};
};

} // namespace Ibisturn
