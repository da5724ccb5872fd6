#pragma once

#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibHTTP/Backends/EventStreamGate.h>
#include <LibKernel/AnswerSink.h>

#include <functional>

namespace Ibisturn {

/// Takes the answers of a request's attempts, one after the other, and makes one answer of them as the life of
/// the request says. Thread safety: one coroutine at a time.
class AttemptSink final : public AnswerSink {
public:
    /// `lastEvent` is the last event that the caller has already, if the request resumes a stream.
    /// Precondition: `sink` and `life` outlive it.
    AttemptSink(AnswerSink& sink, RequestLifecycle& life, std::optional<std::uint64_t> lastEvent,
        EventNumbering numbering = EventNumbering::Consecutive);

    /// Begins an attempt, whose first part `onFirstPart` is told of. Precondition: the one before is over.
    void beginAttempt(AttemptId attempt, ResumeNeed resume, std::function<void(TimePoint)> onFirstPart = nullptr);

    /// Turns the failure of a backend server into a failed attempt where another may follow.
    void repeatFailures() { repeatsFailures_ = true; }

    /// Whether the backend server of this attempt said that it leaves.
    bool isServerLeaving() const { return isServerLeaving_; }

    /// When the first part of this attempt's answer came, if one did.
    std::optional<TimePoint> firstPartAt() const { return firstPartAt_; }

    /// The id of the last event that the caller got.
    std::optional<std::uint64_t> lastEvent() const { return gate_.lastEvent(); }

    Task<void> writeHead(const AnswerHead& head) override;
    Task<void> writePart(std::string_view part) override;
    Task<void> writeEnd() override;

private:
    AnswerSink& sink_;
    RequestLifecycle& life_;
    AttemptId attempt_;
    ResumeNeed resume_ { ResumeNeed::None };
    EventStreamGate gate_;
    std::function<void(TimePoint)> onFirstPart_;
    bool repeatsFailures_ { false };
    bool isGated_ { false };
    bool isServerLeaving_ { false };
    std::optional<TimePoint> firstPartAt_;
};

} // namespace Ibisturn
