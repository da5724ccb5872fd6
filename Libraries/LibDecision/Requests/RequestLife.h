#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Requests/RequestAction.h>

#include <functional>
#include <optional>
#include <set>

namespace Ibisturn {

/// What bounds the life of one request.
struct RequestTerms {
    /// One for a caller's request, none for one that a peer handed over: that one is run once or refused.
    HopsLeft hops { HopsLeft::One };
    /// No attempt begins after this.
    TimePoint deadline;
    /// Takes a retry from the instance's budget.
    std::function<bool(TimePoint)> takeRetry;
    /// Attempts of which it can't be ruled out that they ran.
    std::uint32_t mostRuns { 3 };
};

/// The life of one request at one instance, from its head to the end of its answer. It says when the request
/// is handed over, tried again, resumed, refused, cut or cancelled, and what the caller may be told of it.
///
/// - "Not run" is said only if each attempt ended before its hand-over or was refused by the peer that got it.
/// - A request is tried again only at its origin, before the caller saw anything of an answer, and only if it
///   is idempotent or has certainly not run.
/// - An answer that the caller saw a part of goes on only if its backend server can resume.
/// - An event of an attempt that is over changes nothing, however late it comes.
///
/// Thread safety: one thread at a time.
class RequestLife {
public:
    explicit RequestLife(RequestTerms terms);

    /// Takes an event and returns what to do, in order. Precondition: `now` does not go backwards.
    RequestActions handle(const RequestEvent& event, TimePoint now);

    /// Backend servers and instances that failed this request; a further attempt avoids them.
    const std::set<BackendServerId>& failedBackendServers() const { return failedBackendServers_; }
    const std::set<InstanceId>& failedInstances() const { return failedInstances_; }

    /// Attempts so far.
    std::uint32_t attempts() const { return attempt_.count(); }

    /// Why the last attempt failed; nothing if none did.
    const std::optional<ResultCode>& failure() const { return failure_; }

    /// Whether an attempt that ran and failed may be followed by another, the budget aside.
    bool mayRepeat(TimePoint now) const;

    /// Whether the request has ended; every later event is ignored.
    bool hasEnded() const { return stage_ == Stage::Ended; }

private:
    enum class Stage : std::uint8_t {
        Head,
        Body,
        Placing,
        Connecting,
        HandedOver,
        Answering,
        Ended,
    };

    RequestActions on(const HeadRead& event, TimePoint now);
    RequestActions on(const BodyTaken& event, TimePoint now);
    RequestActions on(const PlaceChosen& event, TimePoint now);
    RequestActions on(const HandOverAsked& event, TimePoint now);
    RequestActions on(const AnswerBegan& event, TimePoint now);
    RequestActions on(const PartArrived& event, TimePoint now);
    RequestActions on(const AnswerEnded& event, TimePoint now);
    RequestActions on(const AttemptFailed& event, TimePoint now);
    RequestActions on(const AccessReviewed& event, TimePoint now);
    RequestActions on(const CallerLeft& event, TimePoint now);
    RequestActions on(const DeadlinePassed& event, TimePoint now);
    RequestActions on(const DrainBegan& event, TimePoint now);

    bool isCurrent(AttemptId attempt) const { return attempt == attempt_ && hasAttempt(); }
    bool hasAttempt() const { return stage_ == Stage::Connecting || stage_ == Stage::HandedOver || stage_ == Stage::Answering; }
    bool mayTryAgain(const AttemptFailed& event, TimePoint now) const;
    void noteFailedPlace(FailedPart part);
    void noteRan(const AttemptFailed& event);
    RequestActions fail(ResultCode code);
    RequestActions cancel(ResultCode code);

    RequestTerms terms_;
    Stage stage_ { Stage::Head };
    Repeatability repeatability_ { Repeatability::NonIdempotent };
    AttemptId attempt_;
    Place place_;
    /// What all attempts that are over leave known.
    Ran ran_ { Ran::No };
    /// Attempts that may have run.
    std::uint32_t runs_ { 0 };
    /// Why the last attempt failed.
    std::optional<ResultCode> failure_;
    bool hasShown_ { false };
    bool canResume_ { false };
    std::set<BackendServerId> failedBackendServers_;
    std::set<InstanceId> failedInstances_;
};

} // namespace Ibisturn
