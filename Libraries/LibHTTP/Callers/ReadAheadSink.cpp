#include <LibHTTP/Callers/ReadAheadSink.h>

#include <LibCore/Log.h>
#include <LibCore/SteadyClock.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log readAheadLog("caller", LineKind::Request);
/// Small parts are gathered in blocks of this size.
constexpr std::size_t blockBytes = 4UL * 1024;
/// An answer of which this much is held waits for its caller, so that one endless stream does not take the memory of all.
constexpr std::size_t maxHeldBytes = 4UL * 1024 * 1024;
/// While memory is used up, an answer that waits checks this often whether another one can be given up.
constexpr Duration stallPoll = std::chrono::milliseconds(100);

} // namespace

struct ReadAheadSink::State {
    State(const Asio::any_io_executor& stateExecutor, AnswerSink& callerSink, MemoryBudget::Reservation reservation, std::string id, std::function<void()> closeCaller)
        : executor(stateExecutor)
        , caller(callerSink)
        , memory(std::move(reservation))
        , requestId(std::move(id))
        , close(std::move(closeCaller))
        , changed(stateExecutor)
    {
    }

    void giveUp()
    {
        readAheadLog.info("Answer given up.", { { "request", requestId }, { "held_bytes", heldBytes }, { "stalled_ms", std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock().now() - progressAt).count() }, { "reason", "the caller does not read and memory is used up" } });
        fail("The caller did not read, and memory was needed for other answers");
    }

    void fail(const char* reason)
    {
        if (!failure)
            failure = Error(ResultCode::CallerGone, Ran::Unknown, reason);
        blocks.clear();
        heldBytes = writingBytes;
        memory.shrinkTo(ByteCount(heldBytes));
        close();
        changed.cancel();
    }

    Asio::any_io_executor executor;
    AnswerSink& caller;
    MemoryBudget::Reservation memory;
    std::string requestId;
    std::function<void()> close;
    /// When the caller took a block last, or the first one was held.
    TimePoint progressAt {};
    /// Cancelled when the caller has taken a block, and when the writer has ended.
    Asio::steady_timer changed;
    std::deque<std::string> blocks;
    /// The capacity of all blocks, that which is being written included.
    std::size_t heldBytes { 0 };
    std::size_t writingBytes { 0 };
    bool isWriting { false };
    bool hasEnd { false };
    std::optional<Error> failure;
    /// Set while more is held than the block that is being written.
    std::optional<HeldAnswerTable::Scope> scope;
};

ReadAheadSink::ReadAheadSink(const Asio::any_io_executor& executor, AnswerSink& caller, const MemoryBudget& memory, HeldAnswerTable& held, std::string requestId, std::function<void()> close)
    : held_(held)
    , state_(std::make_shared<State>(executor, caller, memory.open(), std::move(requestId), std::move(close)))
{
}

Task<void> ReadAheadSink::writeHead(const AnswerHead& head)
{
    co_await state_->caller.writeHead(head);
}

Task<void> ReadAheadSink::writePart(std::string_view part)
{
    throwIfFailed();
    auto& blocks = state_->blocks;
    if (!blocks.empty() && blocks.back().capacity() - blocks.back().size() >= part.size()) {
        blocks.back().append(part);
        co_return;
    }
    const auto size = std::max(part.size(), blockBytes);
    for (auto space = reserve(size); space != Space::Reserved; space = reserve(size)) {
        if (space == Space::MemoryUsedUp && held_.giveUpLongestStalled()) {
            throwIfFailed();
            continue;
        }
        if (!state_->isWriting) {
            // Nothing is held, so the part can wait where it is.
            co_await state_->caller.writePart(part);
            co_return;
        }
        co_await awaitProgress();
        throwIfFailed();
    }
    auto& block = blocks.emplace_back();
    block.reserve(size);
    block.append(part);
    startWriting();
}

Task<void> ReadAheadSink::writeEnd()
{
    throwIfFailed();
    state_->hasEnd = true;
    startWriting();
    co_return;
}

Task<std::optional<Error>> ReadAheadSink::finish()
{
    while (state_->isWriting)
        co_await awaitProgress();
    co_return state_->failure;
}

void ReadAheadSink::abandon()
{
    state_->fail("The answer was abandoned");
}

ReadAheadSink::Space ReadAheadSink::reserve(std::size_t size)
{
    const auto held = state_->heldBytes + size;
    if (held > maxHeldBytes && state_->isWriting)
        return Space::Behind;
    if (!state_->memory.growTo(ByteCount(held), MemoryUse::HeldAnswer))
        return Space::MemoryUsedUp;
    state_->heldBytes = held;
    return Space::Reserved;
}

void ReadAheadSink::startWriting()
{
    if (state_->isWriting) {
        if (!state_->scope && !state_->blocks.empty())
            state_->scope.emplace(held_, [state = state_.get()] { state->giveUp(); });
        return;
    }
    state_->isWriting = true;
    state_->progressAt = SteadyClock().now();
    Asio::co_spawn(state_->executor, writeHeld(state_), Asio::detached);
}

// Waits until the writer has made progress or ended, but not much longer than until an answer may be given up.
Task<void> ReadAheadSink::awaitProgress()
{
    boost::system::error_code ignored;
    state_->changed.expires_after(stallPoll);
    co_await state_->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

void ReadAheadSink::throwIfFailed() const
{
    if (state_->failure)
        throw *state_->failure;
}

Task<void> ReadAheadSink::writeHeld(std::shared_ptr<State> state)
{
    try {
        while (!state->blocks.empty() && !state->failure) {
            std::string block = std::move(state->blocks.front());
            state->blocks.pop_front();
            state->writingBytes = block.capacity();
            co_await state->caller.writePart(block);
            state->heldBytes -= std::exchange(state->writingBytes, 0);
            state->memory.shrinkTo(ByteCount(state->heldBytes));
            if (state->blocks.empty())
                state->scope.reset();
            state->progressAt = SteadyClock().now();
            if (state->scope)
                state->scope->recordProgress();
            state->changed.cancel();
        }
        if (state->hasEnd && !state->failure)
            co_await state->caller.writeEnd();
    } catch (const Error& error) {
        if (!state->failure)
            state->failure = error;
    } catch (const std::exception& error) {
        if (!state->failure)
            state->failure = Error(ResultCode::CallerGone, Ran::Unknown, error.what());
    }
    state->scope.reset();
    state->blocks.clear();
    state->heldBytes = 0;
    state->memory.shrinkTo(ByteCount(0));
    state->isWriting = false;
    state->changed.cancel();
}

} // namespace Ibisturn
