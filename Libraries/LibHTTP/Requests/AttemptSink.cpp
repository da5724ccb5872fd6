#include <LibHTTP/Requests/AttemptSink.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned firstServerError = 500;

template <typename Action>
bool isFirstAction(const RequestActions& actions)
{
    return !actions.empty() && std::holds_alternative<Action>(actions.front());
}

} // namespace

AttemptSink::AttemptSink(AnswerSink& sink, RequestLifecycle& lifecycle, std::optional<std::uint64_t> lastEvent, EventNumbering numbering)
    : sink_(sink)
    , lifecycle_(lifecycle)
    , filter_(lastEvent, numbering)
{
}

void AttemptSink::beginAttempt(AttemptId attempt, ResumeNeed resume, std::function<void(TimePoint)> onFirstPart)
{
    onFirstPart_ = std::move(onFirstPart);
    attempt_ = attempt;
    resume_ = resume;
    isServerDraining_ = false;
    firstPartAt_.reset();
    filter_.restart();
}

void AttemptSink::bindStream(StreamBinding& binding, HopsLeft hops, std::function<void(const SoftwareVersion&)> onFirstEvent)
{
    binding_ = &binding;
    tellsVersion_ = hops == HopsLeft::None;
    onFirstEvent_ = std::move(onFirstEvent);
}

StreamAnswer AttemptSink::beginStream(const AnswerHead& head)
{
    return binding_ ? binding_->onAnswerBegan(serverVersion_.value_or(head.version)) : StreamAnswer::Resumable;
}

void AttemptSink::recordEvent()
{
    if (binding_ && binding_->onEventRelayed() && onFirstEvent_)
        onFirstEvent_(binding_->answeringVersion());
}

Task<void> AttemptSink::writeHead(const AnswerHead& head)
{
    const bool canResume = head.resume == ResumeSupport::Supported && head.status == statusOk;
    isServerDraining_ = head.isServerDraining;
    if (resume_ == ResumeNeed::AfterLastEvent && !canResume)
        throw Error(ResultCode::AnswerCut, Ran::Yes, "The backend server did not resume the stream");
    const auto stream = beginStream(head);
    if (stream == StreamAnswer::Rejected)
        throw Error(ResultCode::AnswerCut, Ran::Yes, "The answer does not come from the software version that began the stream");
    isFiltered_ = canResume;
    const auto now = SteadyClock().now();
    if (retriesServerErrors_ && head.status >= firstServerError && lifecycle_.canRetryAfterRun(now))
        throw Error(ResultCode::BackendFailed, Ran::Yes, "The backend server ran the request and failed");
    const AnswerBegan event { attempt_, canResume && stream == StreamAnswer::Resumable ? ResumeSupport::Supported : ResumeSupport::Unsupported };
    const auto actions = lifecycle_.handle(event, now);
    if (!isFirstAction<RelayToCaller>(actions))
        co_return;
    AnswerHead relayed = head;
    relayed.version = tellsVersion_ ? binding_->answeringVersion() : SoftwareVersion();
    co_await sink_.writeHead(relayed);
}

Task<void> AttemptSink::writePart(std::string_view part)
{
    const auto now = SteadyClock().now();
    if (!firstPartAt_) {
        firstPartAt_ = now;
        if (onFirstPart_)
            onFirstPart_(now);
    }
    const auto actions = lifecycle_.handle(AnswerPartArrived { attempt_ }, now);
    if (!isFirstAction<RelayToCaller>(actions))
        co_return;
    if (!isFiltered_) {
        co_await sink_.writePart(part);
        co_return;
    }
    const std::string events = filter_.take(part);
    if (events.empty())
        co_return;
    recordEvent();
    co_await sink_.writePart(events);
}

Task<void> AttemptSink::writeEnd()
{
    const auto actions = lifecycle_.handle(AnswerEnded { attempt_ }, SteadyClock().now());
    if (isFirstAction<EndAnswer>(actions))
        co_await sink_.writeEnd();
}

} // namespace Ibisturn
