#include <LibHTTP/Requests/AttemptSink.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned firstServerError = 500;

template <typename Action>
bool says(const RequestActions& actions)
{
    return !actions.empty() && std::holds_alternative<Action>(actions.front());
}

} // namespace

AttemptSink::AttemptSink(AnswerSink& sink, RequestLife& life, std::optional<std::uint64_t> lastEvent, EventNumbering numbering)
    : sink_(sink)
    , life_(life)
    , gate_(lastEvent, numbering)
{
}

void AttemptSink::beginAttempt(AttemptId attempt, ResumeNeed resume, std::function<void(TimePoint)> onFirstPart)
{
    onFirstPart_ = std::move(onFirstPart);
    attempt_ = attempt;
    resume_ = resume;
    isServerLeaving_ = false;
    firstPartAt_.reset();
    gate_.restart();
}

Task<void> AttemptSink::writeHead(const AnswerHead& head)
{
    const bool canResume = head.resume == ResumeSupport::Supported && head.status == statusOk;
    isServerLeaving_ = head.isServerDraining;
    if (resume_ == ResumeNeed::AfterLastEvent && !canResume)
        throw Error(ResultCode::AnswerCut, Ran::Yes, "The backend server did not resume the stream");
    isGated_ = canResume;
    const auto now = SteadyClock().now();
    if (repeatsFailures_ && head.status >= firstServerError && life_.mayRepeat(now))
        throw Error(ResultCode::BackendFailed, Ran::Yes, "The backend server ran the request and failed");
    const AnswerBegan event { attempt_, canResume ? ResumeSupport::Supported : ResumeSupport::Unsupported };
    const auto actions = life_.handle(event, now);
    if (says<PassOn>(actions))
        co_await sink_.writeHead(head);
}

Task<void> AttemptSink::writePart(std::string_view part)
{
    const auto now = SteadyClock().now();
    if (!firstPartAt_) {
        firstPartAt_ = now;
        if (onFirstPart_)
            onFirstPart_(now);
    }
    const auto actions = life_.handle(PartArrived { attempt_ }, now);
    if (!says<PassOn>(actions))
        co_return;
    if (!isGated_) {
        co_await sink_.writePart(part);
        co_return;
    }
    const std::string due = gate_.take(part);
    if (!due.empty())
        co_await sink_.writePart(due);
}

Task<void> AttemptSink::writeEnd()
{
    const auto actions = life_.handle(AnswerEnded { attempt_ }, SteadyClock().now());
    if (says<EndAnswer>(actions))
        co_await sink_.writeEnd();
}

} // namespace Ibisturn
