#pragma once

#include "Deployment.h"

#include <map>
#include <memory>

namespace Ibisturn::Scenarios {

/// Runs the steps of one scenario against real processes. It checks only what callers, operators and stand-ins can observe.
/// Thread safety: one thread.
class ScenarioRunner {
public:
    explicit ScenarioRunner(const Scenario& scenario);

    /// Runs all steps. Throws std::runtime_error with file, line and the actual result on the first failure.
    void run();

private:
    void perform(const SendRequest& request);
    void perform(const AwaitPart& await);
    void perform(const AwaitRequest& await);
    void perform(const WriteRecord& write);
    void perform(const WithdrawRecord& withdraw);
    void perform(const AwaitAnswer& await);
    void perform(const ChangeProcess& change);
    void perform(const ChangeStore& change);
    void perform(const ChangeLink& change);
    void perform(const ExpectRuns& expect);
    void perform(const ExpectKeysUnseen& expect);

    CallerRequest makeRequest(const SendRequest& request) const;
    std::string recordName(const std::string& kind, const std::string& name) const;

    const Scenario& scenario_;
    Deployment deployment_;
    std::map<std::string, std::unique_ptr<HttpCaller>> runningRequests_;
};

} // namespace Ibisturn::Scenarios
