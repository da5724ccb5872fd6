#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Requests/RetryBudget.h>

#include <unordered_map>

namespace Ibisturn {

/// Limits on the retries that all instances together may send to one service within a window.
struct FleetRetryLimits {
    /// Permitted retries per request.
    double ratio { 0.1 };
    /// Retries that are permitted regardless of the number of requests.
    std::uint32_t reserve { 10 };
    Duration window { std::chrono::seconds(10) };
};

/// This instance's share of the fleet's retries for each service: a ratio of its own requests plus an equal share of the
/// reserve, so that the fleet stays within its limit without coordination.
/// Thread safety: one thread at a time.
class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryLimits limits);

    /// Changes the limits. Existing budgets keep their counts.
    void setLimits(FleetRetryLimits limits);

    /// Sets how many instances share the reserve. Existing budgets keep their counts.
    void setInstances(std::size_t count);

    /// Records the first attempt of a request.
    void recordRequest(const ServiceId& service, TimePoint now);

    /// Takes one retry from the budget; returns false if none is left.
    bool takeRetry(const ServiceId& service, TimePoint now);

private:
    RetryBudget& budgetOf(const ServiceId& service);
    RetryBudgetLimits ownLimits() const;
    void applyLimits();

    FleetRetryLimits limits_;
    std::size_t instanceCount_ { 1 };
    std::unordered_map<ServiceId, RetryBudget> budgets_;
};

} // namespace Ibisturn
