#pragma once

#include <LibCore/Error.h>
#include <LibDecision/Admission/MemoryBudget.h>
#include <LibHTTP/Callers/HeldAnswerTable.h>
#include <LibKernel/AnswerSink.h>

#include <functional>
#include <memory>
#include <string>

namespace Ibisturn {

/// Takes an answer as fast as the backend server sends it and passes it on as fast as the caller reads it, since a server cuts off
/// an answer that stays unread. What is held in between is reserved from a memory budget. If that is used up, the answer that
/// has been held longest without progress is given up, and the others wait for their callers.
/// Thread safety: one coroutine at a time, on the worker of the sink to which it writes.
class ReadAheadSink final : public AnswerSink {
public:
    /// `requestId` is the caller's, for log lines. `close` closes the caller's connection, so that a write that is under way fails.
    /// Precondition: `caller`, `memory` and `held` outlive this object, and finish() completes before `caller` is destroyed.
    ReadAheadSink(const Asio::any_io_executor& executor, AnswerSink& caller, const MemoryBudget& memory, HeldAnswerTable& held, std::string requestId, std::function<void()> close);

    Task<void> writeHead(const AnswerHead& head) override;
    Task<void> writePart(std::string_view part) override;
    Task<void> writeEnd() override;

    /// Waits until all that is held is written. Returns the failure if the caller disconnected or the answer was given up.
    Task<std::optional<Error>> finish();

    /// Drops what is held and closes the caller's connection.
    void abandon();

private:
    struct State;
    enum class Space : std::uint8_t {
        Reserved,
        /// The caller must take more of the answer first.
        Behind,
        MemoryUsedUp,
    };

    Space reserve(std::size_t size);
    void startWriting();
    Task<void> awaitProgress();
    void throwIfFailed() const;
    static Task<void> writeHeld(std::shared_ptr<State> state);

    HeldAnswerTable& held_;
    std::shared_ptr<State> state_;
};

} // namespace Ibisturn
