#pragma once

#include <LibDecision/Placement/PlacementQuery.h>

#include <cstdint>
#include <unordered_map>

namespace Ibisturn {

/// Counts in how many recent requests each prompt part occurred, as seen by one instance.
/// Thread safety: one thread at a time.
class PartRates {
public:
    /// The period over which requests are counted, about half the time for which a busy engine keeps a part.
    static constexpr Duration window = std::chrono::seconds(5);
    /// Bounds the memory. Further parts are not counted until others have expired.
    static constexpr std::size_t maxParts = 20'000;

    /// Counts one request for each part before the last of `prompt`. Precondition: `now` is not before that of an earlier call.
    void record(TimePoint now, const std::vector<PromptPart>& prompt);

    /// The number of requests with this part in the last window.
    double requests(TimePoint now, std::uint64_t part) const;

    /// The rate of requests with this part. For a part that is new and already frequent, it is the rate since its first request, so that its
    /// load is known before the window has passed.
    double requestsPerSecond(TimePoint now, std::uint64_t part) const;

    /// Whether the part has occurred without a break of a window for at least a window.
    bool isEstablished(TimePoint now, std::uint64_t part) const;

private:
    /// Requests in the period that began at `begin`, and in the one before it.
    struct Count {
        TimePoint firstAt {};
        TimePoint begin {};
        std::uint32_t current { 0 };
        std::uint32_t previous { 0 };
    };

    void expire(TimePoint now);

    std::unordered_map<std::uint64_t, Count> counts_;
    TimePoint nextExpiryAt_ {};
};

} // namespace Ibisturn
