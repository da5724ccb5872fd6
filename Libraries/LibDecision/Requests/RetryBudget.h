#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>

namespace Ibisturn {

/// Limits of a RetryBudget.
struct RetryBudgetLimits {
    /// Permitted retries per recent request.
    double ratio { 0.1 };
    /// Retries that are always permitted in a window, so that an instance with few requests can retry at all.
    std::uint32_t reserve { 5 };
};

/// Permits retries in proportion to the requests of the last seconds, so that retries cannot multiply the
/// load on failing backend servers. Each instance has its own, or one for each service (FleetRetryBudget).
/// Thread safety: one thread at a time.
class RetryBudget {
public:
    /// Precondition: `limits.ratio` is not negative.
    explicit RetryBudget(RetryBudgetLimits limits = {});

    /// Precondition: as for the constructor.
    void setLimits(RetryBudgetLimits limits) { limits_ = limits; }

    /// Records the first attempt of a request. Precondition: `now` does not go backwards.
    void recordRequest(TimePoint now);

    /// Takes one retry from the budget; returns false if none is left. Precondition: `now` does not go backwards.
    bool takeRetry(TimePoint now);

private:
    static constexpr std::size_t slotCount = 10;

    struct Slot {
        std::int64_t second { -1 };
        std::uint32_t requests { 0 };
        std::uint32_t retries { 0 };
    };

    Slot& slotAt(TimePoint now);
    Slot sumUntil(TimePoint now) const;

    RetryBudgetLimits limits_;
    std::array<Slot, slotCount> slots_;
};

} // namespace Ibisturn
