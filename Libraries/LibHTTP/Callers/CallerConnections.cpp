#include <LibHTTP/Callers/CallerConnections.h>

#include <LibCore/Log.h>
#include <LibCore/SteadyClock.h>

#include <algorithm>
#include <utility>

#include <sys/resource.h>

namespace Ibisturn {

namespace {

constexpr Log connectionsLog("connections");

} // namespace

struct CallerConnections::State {
    explicit State(ConnectionBudget connectionBudget)
        : budget(connectionBudget)
    {
    }

    ConnectionBudget budget;
    std::uint64_t open { 0 };
    std::uint64_t busy { 0 };
    std::uint64_t refused { 0 };
};

ConnectionBudget connectionBudgetOf(const Settings& settings)
{
    std::uint64_t descriptors = 0;
    rlimit limit {};
    if (settings.fleet && settings.fleet->processDescriptors)
        descriptors = *settings.fleet->processDescriptors;
    else if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        descriptors = limit.rlim_cur;
    return ConnectionBudget(descriptors, std::max<std::uint64_t>(settings.workers, 1));
}

CallerConnections::Scope::Scope(std::shared_ptr<State> state, std::uint64_t State::*count)
    : state_(std::move(state))
    , count_(count)
{
    ++((*state_).*count_);
}

CallerConnections::Scope::~Scope()
{
    if (!state_)
        return;
    --((*state_).*count_);
    if (count_ != &State::refused)
        state_->budget.onRelease(SteadyClock().now());
}

CallerConnections::CallerConnections(ConnectionBudget budget, Metrics& metrics)
    : metrics_(metrics)
    , state_(std::make_shared<State>(budget))
{
}

std::optional<CallerConnections::Scope> CallerConnections::open()
{
    const auto decision = state_->budget.decide(usage());
    const bool isAccepted = decision == ConnectionDecision::Accept || (decision == ConnectionDecision::CloseIdleAndAccept && closeLongestIdle());
    if (isAccepted)
        return Scope(state_, &State::open);
    ++refusedSinceReport_;
    metrics_.increment("ibisturn_caller_connections_refused_total");
    return std::nullopt;
}

std::optional<CallerConnections::Scope> CallerConnections::beginRefusal()
{
    if (state_->refused >= state_->budget.refusals())
        return std::nullopt;
    return Scope(state_, &State::refused);
}

CallerConnections::Scope CallerConnections::beginRequest()
{
    Scope busy(state_, &State::busy);
    if (state_->budget.mustCloseIdle(usage()))
        closeLongestIdle();
    return busy;
}

std::chrono::milliseconds CallerConnections::retryAfter()
{
    return state_->budget.retryAfter(SteadyClock().now());
}

void CallerConnections::report()
{
    const auto counts = usage();
    metrics_.set("ibisturn_caller_connections{state=\"open\"}", static_cast<double>(counts.open));
    metrics_.set("ibisturn_caller_connections{state=\"busy\"}", static_cast<double>(counts.busy));
    metrics_.set("ibisturn_caller_connections{state=\"idle\"}", static_cast<double>(counts.idle));
    metrics_.set("ibisturn_caller_descriptors", static_cast<double>(state_->budget.callerDescriptors()));
    const auto closed = std::exchange(closedSinceReport_, 0);
    const auto refused = std::exchange(refusedSinceReport_, 0);
    if (closed == 0 && refused == 0)
        return;
    connectionsLog.warning("Callers use all descriptors that they may use.", { { "closed_idle", closed }, { "refused", refused }, { "open", counts.open }, { "busy", counts.busy }, { "idle", counts.idle }, { "descriptors", state_->budget.callerDescriptors() } });
}

ConnectionUsage CallerConnections::usage() const
{
    return { state_->open, state_->busy, idle_.size() };
}

bool CallerConnections::closeLongestIdle()
{
    if (!idle_.closeLongestIdle())
        return false;
    ++closedSinceReport_;
    metrics_.increment("ibisturn_caller_connections_closed_total");
    return true;
}

} // namespace Ibisturn
