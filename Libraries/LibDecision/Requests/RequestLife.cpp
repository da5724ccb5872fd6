#include <LibDecision/Requests/RequestLife.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr AttemptId mostAttempts(3);
constexpr unsigned firstServerError = 500;

// After a part of the answer was sent, a failure of the place is reported as a truncated answer; a refusal keeps its code.
ResultCode codeAfterShown(ResultCode code)
{
    const bool isRefusal = resultCodeEntry(code).httpStatus < firstServerError || code == ResultCode::RecordSchemaUnknown;
    return isRefusal || code == ResultCode::DeadlineExceeded ? code : ResultCode::AnswerCut;
}

} // namespace

RequestLife::RequestLife(RequestTerms terms)
    : terms_(std::move(terms))
{
}

RequestActions RequestLife::handle(const RequestEvent& event, TimePoint now)
{
    if (hasEnded())
        return {};
    return std::visit([this, now](const auto& known) { return on(known, now); }, event);
}

RequestActions RequestLife::on(const HeadRead& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Head)
        return {};
    if (event.access != ResultCode::Ok)
        return fail(event.access);
    stage_ = Stage::Body;
    return { TakeBody {} };
}

RequestActions RequestLife::on(const BodyTaken& event, TimePoint now)
{
    if (stage_ != Stage::Body)
        return {};
    repeatability_ = event.repeatability;
    if (now >= terms_.deadline)
        return fail(ResultCode::DeadlineExceeded);
    stage_ = Stage::Placing;
    return { ChoosePlace {} };
}

RequestActions RequestLife::on(const PlaceChosen& event, TimePoint now)
{
    if (stage_ != Stage::Placing)
        return {};
    if (const auto* refusal = std::get_if<RefuseRequest>(&event.place))
        return fail(failure_.value_or(refusal->code));
    if (now >= terms_.deadline)
        return fail(ResultCode::DeadlineExceeded);
    const auto* forward = std::get_if<ForwardTo>(&event.place);
    // A request is forwarded at most once, regardless of the place decision.
    if (forward && terms_.hops == HopsLeft::None)
        return fail(ResultCode::NoBackendServer);
    place_ = event.place;
    attempt_ += AttemptId(1);
    stage_ = Stage::Connecting;
    if (forward)
        return { ForwardToPeer { attempt_, forward->instance } };
    return { DispatchHere { attempt_, std::get<RunHere>(event.place).backendServer } };
}

RequestActions RequestLife::on(const HandOverAsked& event, TimePoint now)
{
    if (stage_ != Stage::Connecting || event.attempt != attempt_)
        return {};
    if (event.access != ResultCode::Ok)
        return cancel(event.access);
    if (now >= terms_.deadline)
        return cancel(ResultCode::DeadlineExceeded);
    stage_ = Stage::HandedOver;
    return { HandOver { attempt_ } };
}

RequestActions RequestLife::on(const AnswerBegan& event, TimePoint /*now*/)
{
    if (stage_ != Stage::HandedOver || event.attempt != attempt_)
        return {};
    stage_ = Stage::Answering;
    canResume_ = event.resume == ResumeSupport::Supported;
    ran_ = Ran::Yes;
    // The attempt that this one resumes has already sent the head.
    if (std::exchange(hasShown_, true))
        return {};
    return { PassOn {} };
}

RequestActions RequestLife::on(const PartArrived& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Answering || event.attempt != attempt_)
        return {};
    return { PassOn {} };
}

RequestActions RequestLife::on(const AnswerEnded& event, TimePoint /*now*/)
{
    if (stage_ != Stage::Answering || event.attempt != attempt_)
        return {};
    stage_ = Stage::Ended;
    return { EndAnswer {} };
}

RequestActions RequestLife::on(const AttemptFailed& event, TimePoint now)
{
    if (!isCurrent(event.attempt))
        return {};
    failure_ = event.code;
    noteRan(event);
    noteFailedPlace(event.part);
    if (!mayTryAgain(event, now) || !terms_.takeRetry(now))
        return fail(event.code);
    stage_ = Stage::Placing;
    return { ChoosePlace { hasShown_ ? ResumeNeed::AfterLastEvent : ResumeNeed::None } };
}

RequestActions RequestLife::on(const AccessReviewed& event, TimePoint /*now*/)
{
    if (event.access == ResultCode::Ok || stage_ == Stage::Head)
        return {};
    return cancel(event.access);
}

RequestActions RequestLife::on(const CallerLeft& /*event*/, TimePoint /*now*/)
{
    return cancel(ResultCode::CallerGone);
}

RequestActions RequestLife::on(const DeadlinePassed& /*event*/, TimePoint /*now*/)
{
    return cancel(ResultCode::DeadlineExceeded);
}

// Admitted requests run to completion.
RequestActions RequestLife::on(const DrainBegan& /*event*/, TimePoint /*now*/)
{
    if (stage_ != Stage::Head)
        return {};
    return fail(ResultCode::Draining);
}

bool RequestLife::mayRepeat(TimePoint now) const
{
    const bool hasAttemptsLeft = attempt_ < mostAttempts && runs_ + 1 < terms_.mostRuns && now < terms_.deadline;
    return terms_.hops == HopsLeft::One && !hasShown_ && hasAttemptsLeft && repeatability_ == Repeatability::Idempotent;
}

bool RequestLife::mayTryAgain(const AttemptFailed& event, TimePoint now) const
{
    if (terms_.hops == HopsLeft::None || attempt_ >= mostAttempts || runs_ >= terms_.mostRuns || now >= terms_.deadline)
        return false;
    if (hasShown_)
        return canResume_ && repeatability_ == Repeatability::Idempotent;
    // A refusal that is not specific to the place would be repeated by any other place.
    const bool isPlaceAtFault = resultCodeEntry(event.code).httpStatus >= firstServerError || event.code == ResultCode::ResidencyRefused;
    if (!isPlaceAtFault)
        return false;
    return ran_ == Ran::No || repeatability_ == Repeatability::Idempotent;
}

void RequestLife::noteFailedPlace(FailedPart part)
{
    if (const auto* here = std::get_if<RunHere>(&place_))
        failedBackendServers_.insert(here->backendServer);
    const auto* forward = std::get_if<ForwardTo>(&place_);
    if (forward && part == FailedPart::Target)
        failedInstances_.insert(forward->instance);
}

void RequestLife::noteRan(const AttemptFailed& event)
{
    if (stage_ == Stage::Connecting)
        return;
    // Only the receiving instance, or a refusal by the backend server itself, can prove that the request did not run.
    const bool isProof = std::holds_alternative<ForwardTo>(place_) || event.proof == RanProof::Refusal;
    const auto known = event.ran == Ran::No && !isProof ? Ran::Unknown : event.ran;
    if (known != Ran::No)
        ++runs_;
    ran_ = std::max(ran_, known);
}

RequestActions RequestLife::fail(ResultCode code)
{
    stage_ = Stage::Ended;
    if (hasShown_)
        return { CutWithError { codeAfterShown(code), Ran::Yes } };
    return { AnswerWithError { code, ran_ } };
}

RequestActions RequestLife::cancel(ResultCode code)
{
    RequestActions actions;
    if (hasAttempt())
        actions.emplace_back(CancelAttempt { attempt_ });
    if (stage_ == Stage::HandedOver)
        ran_ = std::max(ran_, Ran::Unknown);
    const auto end = fail(code);
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
}

} // namespace Ibisturn
