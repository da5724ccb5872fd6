#include <LibDecision/Requests/RequestLifecycle.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr AttemptId maxAttempts(3);
constexpr unsigned firstServerError = 500;

// After a part of the answer was sent, a failure of the place is reported as a truncated answer; a refusal keeps its code.
ResultCode codeAfterPartialAnswer(ResultCode code)
{
    const bool isRefusal = resultCodeEntry(code).httpStatus < firstServerError || code == ResultCode::RecordSchemaUnknown;
    return isRefusal || code == ResultCode::DeadlineExceeded ? code : ResultCode::AnswerCut;
}

} // namespace

RequestLifecycle::RequestLifecycle(RequestLimits limits)
    : limits_(std::move(limits))
{
}

RequestActions RequestLifecycle::handle(const RequestEvent& event, TimePoint now)
{
    if (hasEnded())
        return {};
    return std::visit([this, now](const auto& known) { return on(known, now); }, event);
}

RequestActions RequestLifecycle::on(const HeadRead& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Head)
        return {};
    if (event.access != ResultCode::Ok)
        return fail(event.access);
    stage_ = Stage::Body;
    return { ReadBody {} };
}

RequestActions RequestLifecycle::on(const BodyRead& event, TimePoint now)
{
    if (stage_ != Stage::Body)
        return {};
    repeatability_ = event.repeatability;
    if (now >= limits_.deadline)
        return fail(ResultCode::DeadlineExceeded);
    stage_ = Stage::Placing;
    return { ChoosePlace {} };
}

RequestActions RequestLifecycle::on(const PlaceChosen& event, TimePoint now)
{
    if (stage_ != Stage::Placing)
        return {};
    if (const auto* refusal = std::get_if<RefuseRequest>(&event.place))
        return fail(failure_.value_or(refusal->code));
    if (now >= limits_.deadline)
        return fail(ResultCode::DeadlineExceeded);
    const auto* forward = std::get_if<ForwardTo>(&event.place);
    // A request is forwarded at most once, regardless of the place decision.
    if (forward && limits_.hops == HopsLeft::None)
        return fail(ResultCode::NoBackendServer);
    place_ = event.place;
    attempt_ += AttemptId(1);
    stage_ = Stage::Connecting;
    if (forward)
        return { ForwardToPeer { attempt_, forward->instance } };
    return { DispatchLocally { attempt_, std::get<RunHere>(event.place).backendServer } };
}

RequestActions RequestLifecycle::on(const ConnectionReady& event, TimePoint now)
{
    if (stage_ != Stage::Connecting || event.attempt != attempt_)
        return {};
    if (event.access != ResultCode::Ok)
        return cancel(event.access);
    if (now >= limits_.deadline)
        return cancel(ResultCode::DeadlineExceeded);
    stage_ = Stage::RequestWritten;
    return { WriteRequest { attempt_ } };
}

RequestActions RequestLifecycle::on(const AnswerBegan& event, TimePoint /*now*/)
{
    if (stage_ != Stage::RequestWritten || event.attempt != attempt_)
        return {};
    stage_ = Stage::Answering;
    canResume_ = event.resume == ResumeSupport::Supported;
    ran_ = Ran::Yes;
    // The attempt that this one resumes has already sent the head.
    if (std::exchange(hasSentAnswer_, true))
        return {};
    return { RelayToCaller {} };
}

RequestActions RequestLifecycle::on(const AnswerPartArrived& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Answering || event.attempt != attempt_)
        return {};
    return { RelayToCaller {} };
}

RequestActions RequestLifecycle::on(const AnswerEnded& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Answering || event.attempt != attempt_)
        return {};
    stage_ = Stage::Ended;
    return { EndAnswer {} };
}

RequestActions RequestLifecycle::on(const AttemptFailed& event, TimePoint now)
{
    if (!isCurrent(event.attempt))
        return {};
    failure_ = event.code;
    recordRan(event);
    recordFailedPlace(event.part);
    if (!canRetry(event, now) || !limits_.takeRetry(now))
        return fail(event.code);
    stage_ = Stage::Placing;
    return { ChoosePlace { hasSentAnswer_ ? ResumeNeed::AfterLastEvent : ResumeNeed::None } };
}

RequestActions RequestLifecycle::on(const AccessReviewed& event, TimePoint /*now*/)
{
    if (event.access == ResultCode::Ok || stage_ == Stage::Head)
        return {};
    return cancel(event.access);
}

RequestActions RequestLifecycle::on(const CallerDisconnected& /*event*/, TimePoint /*now*/)
{
    return cancel(ResultCode::CallerGone);
}

RequestActions RequestLifecycle::on(const DeadlinePassed& /*event*/, TimePoint /*now*/)
{
    return cancel(ResultCode::DeadlineExceeded);
}

// Admitted requests run to completion.
RequestActions RequestLifecycle::on(const DrainBegan& /*event*/, TimePoint /*now*/)
{
    if (stage_ != Stage::Head)
        return {};
    return fail(ResultCode::Draining);
}

bool RequestLifecycle::canRetryAfterRun(TimePoint now) const
{
    const bool hasAttemptsLeft = attempt_ < maxAttempts && possibleRuns_ + 1 < limits_.maxRuns && now < limits_.deadline;
    return limits_.hops == HopsLeft::One && !hasSentAnswer_ && hasAttemptsLeft && repeatability_ == Repeatability::Idempotent;
}

bool RequestLifecycle::canRetry(const AttemptFailed& event, TimePoint now) const
{
    if (limits_.hops == HopsLeft::None || attempt_ >= maxAttempts || possibleRuns_ >= limits_.maxRuns || now >= limits_.deadline)
        return false;
    if (hasSentAnswer_)
        return canResume_ && repeatability_ == Repeatability::Idempotent;
    // A refusal for a reason unrelated to the place would recur on a retry.
    const bool isServerError = resultCodeEntry(event.code).httpStatus >= firstServerError && event.code != ResultCode::PromptQuarantined;
    const bool isPlaceAtFault = isServerError || event.code == ResultCode::ResidencyRefused;
    if (!isPlaceAtFault)
        return false;
    return ran_ == Ran::No || repeatability_ == Repeatability::Idempotent;
}

void RequestLifecycle::recordFailedPlace(FailedPart part)
{
    if (const auto* here = std::get_if<RunHere>(&place_))
        failedBackendServers_.insert(here->backendServer);
    const auto* forward = std::get_if<ForwardTo>(&place_);
    if (forward && part == FailedPart::Target)
        failedInstances_.insert(forward->instance);
}

void RequestLifecycle::recordRan(const AttemptFailed& event)
{
    if (stage_ == Stage::Connecting)
        return;
    // Only the receiving instance, or a refusal by the backend server itself, can prove that the request did not run.
    const bool isProof = std::holds_alternative<ForwardTo>(place_) || event.proof == RanProof::Refusal;
    const auto known = event.ran == Ran::No && !isProof ? Ran::Unknown : event.ran;
    if (known != Ran::No)
        ++possibleRuns_;
    ran_ = std::max(ran_, known);
}

RequestActions RequestLifecycle::fail(ResultCode code)
{
    stage_ = Stage::Ended;
    if (hasSentAnswer_)
        return { TruncateWithError { codeAfterPartialAnswer(code), Ran::Yes } };
    return { AnswerWithError { code, ran_ } };
}

RequestActions RequestLifecycle::cancel(ResultCode code)
{
    RequestActions actions;
    if (hasAttempt())
        actions.emplace_back(CancelAttempt { attempt_ });
    if (stage_ == Stage::RequestWritten)
        ran_ = std::max(ran_, Ran::Unknown);
    const auto end = fail(code);
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
}

} // namespace Ibisturn
