#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Metrics.h>
#include <LibDecision/Admission/ConnectionBudget.h>
#include <LibHTTP/Callers/IdleConnections.h>

#include <optional>

namespace Ibisturn {

/// How the descriptors of this process are divided; without a setting, those that the system permits.
/// Thread safety: any thread.
ConnectionBudget connectionBudgetOf(const Settings& settings);

/// Counts the connections of callers on one worker, and closes idle ones or has new ones refused where descriptors run out.
/// Thread safety: one worker.
class CallerConnections {
    struct State;

public:
    /// Counts one connection, or one request, for its lifetime.
    class Scope {
    public:
        Scope(std::shared_ptr<State> state, std::uint64_t State::*count);
        Scope(Scope&& other) noexcept = default;
        Scope& operator=(Scope&& other) = delete;
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;
        ~Scope();

    private:
        std::shared_ptr<State> state_;
        std::uint64_t State::*count_;
    };

    /// Precondition: `metrics` outlives the object.
    CallerConnections(ConnectionBudget budget, Metrics& metrics);

    /// Counts a new connection, after closing the one that has been idle longest if that is necessary. Empty if the new one must be refused.
    std::optional<Scope> open();

    /// Counts a connection that is being refused. Empty if there are so many that it must be closed without waiting for its request.
    std::optional<Scope> beginRefusal();

    /// Counts a connection as busy; an idle one may be closed for it.
    Scope beginRequest();

    /// When a caller that is refused now should return.
    std::chrono::milliseconds retryAfter();

    IdleConnections& idle() { return idle_; }

    /// The present counts.
    ConnectionUsage usage() const;

    /// Publishes the counts, and logs what was closed or refused since the last call. Must be called about once a second.
    void report();

private:
    bool closeLongestIdle();

    IdleConnections idle_;
    Metrics& metrics_;
    // Shared with the scopes: an event loop destroys its suspended coroutines after the other members of the worker.
    std::shared_ptr<State> state_;
    std::uint64_t closedSinceReport_ { 0 };
    std::uint64_t refusedSinceReport_ { 0 };
};

} // namespace Ibisturn
