#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Requests/RetryBudget.h>

#include <unordered_map>

namespace Ibisturn {

/// The retries that all instances together may send to one service within a window.
struct FleetRetryLimits {
    /// Retries for each request.
    double ratio { 0.1 };
    /// Retries that are permitted in any case.
    std::uint32_t reserve { 10 };
    Duration window { std::chrono::seconds(10) };
};

/// This instance's part of the fleet's retries, for each service: a ratio of its own requests and an even part of the
/// reserve, so that the sum holds without asking anyone.
/// Thread safety: one thread at a time.
class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryLimits limits);

    /// Changes the limits. Budgets in use keep what they counted.
    void setLimits(FleetRetryLimits limits);

    /// Sets how many instances share the reserve. Budgets in use keep what they counted.
    void setInstances(std::size_t count);

    /// Notes the first attempt of a request.
    void noteRequest(const ServiceId& service, TimePoint now);

    /// Takes one retry if there is one.
    bool takeRetry(const ServiceId& service, TimePoint now);

private:
    RetryBudget& budgetOf(const ServiceId& service);
    RetryBudgetLimits ownLimits() const;
    void applyLimits();

    FleetRetryLimits limits_;
    std::size_t instances_ { 1 };
    std::unordered_map<ServiceId, RetryBudget> budgets_;
};

} // namespace Ibisturn
