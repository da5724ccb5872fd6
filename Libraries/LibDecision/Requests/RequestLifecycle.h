#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Requests/RequestAction.h>

#include <functional>
#include <optional>
#include <set>

namespace Ibisturn {

/// Limits of one request.
struct RequestLimits {
    /// One for a caller's request, none for one that a peer forwarded, which is run once or refused.
    HopsLeft hops { HopsLeft::One };
    /// No attempt starts after this.
    TimePoint deadline;
    /// Takes a retry from the instance's budget.
    std::function<bool(TimePoint)> takeRetry;
    /// Maximum number of attempts that may have run.
    std::uint32_t maxRuns { 3 };
};

/// State machine of one request at one instance, from its head to the end of its answer. It decides when the request
/// is sent, retried, resumed, refused, truncated or cancelled, and which outcome is reported to the caller.
///
/// - "Not run" is reported only if each attempt ended before the request was sent, was refused by the peer that received
///   it, or was refused by the backend server itself.
/// - A request is retried only at its origin, before any part of an answer was sent to the caller, and only if it
///   is idempotent or has certainly not run.
/// - An answer that was sent in part continues only if its backend server can resume.
/// - An event of a finished attempt is ignored, however late it arrives.
///
/// Thread safety: one thread at a time.
class RequestLifecycle {
public:
    explicit RequestLifecycle(RequestLimits limits);

    /// Handles an event and returns the actions to take, in order. Precondition: `now` does not go backwards.
    RequestActions handle(const RequestEvent& event, TimePoint now);

    /// Backend servers and instances where this request failed; further attempts avoid them.
    const std::set<BackendServerId>& failedBackendServers() const { return failedBackendServers_; }
    const std::set<InstanceId>& failedInstances() const { return failedInstances_; }

    /// Number of attempts so far.
    std::uint32_t attempts() const { return attempt_.count(); }

    /// Why the last attempt failed; nullopt if none failed.
    const std::optional<ResultCode>& failure() const { return failure_; }

    /// Whether an attempt that may have run can be followed by another if it fails, regardless of the retry budget.
    bool canRetryAfterRun(TimePoint now) const;

    /// Whether the request has ended; every later event is ignored.
    bool hasEnded() const { return stage_ == Stage::Ended; }

private:
    enum class Stage : std::uint8_t {
        Head,
        Body,
        Placing,
        Connecting,
        RequestWritten,
        Answering,
        Ended,
    };

    RequestActions on(const HeadRead& event, TimePoint now);
    RequestActions on(const BodyRead& event, TimePoint now);
    RequestActions on(const PlaceChosen& event, TimePoint now);
    RequestActions on(const ConnectionReady& event, TimePoint now);
    RequestActions on(const AnswerBegan& event, TimePoint now);
    RequestActions on(const AnswerPartArrived& event, TimePoint now);
    RequestActions on(const AnswerEnded& event, TimePoint now);
    RequestActions on(const AttemptFailed& event, TimePoint now);
    RequestActions on(const AccessReviewed& event, TimePoint now);
    RequestActions on(const CallerDisconnected& event, TimePoint now);
    RequestActions on(const DeadlinePassed& event, TimePoint now);
    RequestActions on(const DrainBegan& event, TimePoint now);

    bool isCurrent(AttemptId attempt) const { return attempt == attempt_ && hasAttempt(); }
    bool hasAttempt() const { return stage_ == Stage::Connecting || stage_ == Stage::RequestWritten || stage_ == Stage::Answering; }
    bool canRetry(const AttemptFailed& event, TimePoint now) const;
    void recordFailedPlace(FailedPart part);
    void recordRan(const AttemptFailed& event);
    RequestActions fail(ResultCode code);
    RequestActions cancel(ResultCode code);

    RequestLimits limits_;
    Stage stage_ { Stage::Head };
    Repeatability repeatability_ { Repeatability::NonIdempotent };
    AttemptId attempt_;
    Place place_;
    /// Whether any finished attempt ran, as far as known.
    Ran ran_ { Ran::No };
    /// Attempts that may have run.
    std::uint32_t possibleRuns_ { 0 };
    /// Why the last attempt failed.
    std::optional<ResultCode> failure_;
    bool hasSentAnswer_ { false };
    bool canResume_ { false };
    std::set<BackendServerId> failedBackendServers_;
    std::set<InstanceId> failedInstances_;
};

} // namespace Ibisturn
