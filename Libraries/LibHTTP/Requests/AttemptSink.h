#pragma once

#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibDecision/Streams/StreamBinding.h>
#include <LibHTTP/Backends/EventStreamFilter.h>
#include <LibKernel/AnswerSink.h>

#include <functional>

namespace Ibisturn {

/// Combines the answers of a request's successive attempts into one answer for the caller, as decided by the
/// request's lifecycle. Thread safety: one coroutine at a time.
class AttemptSink final : public AnswerSink {
public:
    /// `lastEvent` is the last event that the caller has already received, if the request resumes a stream.
    /// Precondition: `sink` and `lifecycle` outlive this object.
    AttemptSink(AnswerSink& sink, RequestLifecycle& lifecycle, std::optional<std::uint64_t> lastEvent,
        EventNumbering numbering = EventNumbering::Consecutive);

    /// Begins an attempt. `onFirstPart` is called when the first part of its answer arrives. Precondition: the previous
    /// attempt has ended.
    void beginAttempt(AttemptId attempt, ResumeNeed resume, std::function<void(TimePoint)> onFirstPart = nullptr);

    /// Treats a server error of a backend server as a failed attempt if another attempt may follow.
    void retryServerErrors() { retriesServerErrors_ = true; }

    /// Binds the answer to the software version that begins it. An instance without hops left tells the version to its peer. `onFirstEvent`
    /// is called right before the first event is relayed, with the version that sent it, or an empty one. Precondition: `binding`
    /// outlives this object.
    void bindStream(StreamBinding& binding, HopsLeft hops, std::function<void(const SoftwareVersion&)> onFirstEvent);

    /// Sets the software version of the backend server of the next attempt, or an empty one if it is not known; unset if the head of the
    /// answer tells it. Precondition: the previous attempt has ended.
    void setServerVersion(std::optional<SoftwareVersion> version) { serverVersion_ = std::move(version); }

    /// Whether the backend server of this attempt reported that it is draining.
    bool isServerDraining() const { return isServerDraining_; }

    /// When the first part of this attempt's answer arrived, if one did.
    std::optional<TimePoint> firstPartAt() const { return firstPartAt_; }

    /// The id of the last event that was sent to the caller.
    std::optional<std::uint64_t> lastEvent() const { return filter_.lastEvent(); }

    Task<void> writeHead(const AnswerHead& head) override;
    Task<void> writePart(std::string_view part) override;
    Task<void> writeEnd() override;

private:
    StreamAnswer beginStream(const AnswerHead& head);
    void recordEvent();

    AnswerSink& sink_;
    RequestLifecycle& lifecycle_;
    AttemptId attempt_;
    ResumeNeed resume_ { ResumeNeed::None };
    EventStreamFilter filter_;
    std::function<void(TimePoint)> onFirstPart_;
    StreamBinding* binding_ { nullptr };
    bool tellsVersion_ { false };
    std::function<void(const SoftwareVersion&)> onFirstEvent_;
    std::optional<SoftwareVersion> serverVersion_;
    bool retriesServerErrors_ { false };
    bool isFiltered_ { false };
    bool isServerDraining_ { false };
    std::optional<TimePoint> firstPartAt_;
};

} // namespace Ibisturn
