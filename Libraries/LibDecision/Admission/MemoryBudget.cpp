#include <LibDecision/Admission/MemoryBudget.h>

#include <LibCore/OrderedMutex.h>

#include <algorithm>
#include <mutex>
#include <random>
#include <utility>

namespace Ibisturn {

namespace {

/// Releases of the current and the last period determine the rate.
constexpr Duration ratePeriod = std::chrono::seconds(1);
constexpr std::uint64_t smallShareDivisor = 8;
constexpr std::uint64_t requestShareDivisor = 4;
/// A wait is extended by up to this share of itself.
constexpr double maxWaitSpread = 0.5;
/// The wait of the first refusals, while no releases have been seen.
constexpr Duration waitAtUnknownRate = std::chrono::milliseconds(500);

} // namespace

struct MemoryBudget::State {
    State(std::optional<ByteCount> limit, std::uint64_t seed)
        : capacity(limit)
        , random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    std::uint64_t limitFor(ByteCount size, MemoryUse use = MemoryUse::Request) const
    {
        if (use == MemoryUse::HeldAnswer)
            return capacity->count() - capacity->count() / requestShareDivisor;
        return size <= smallReservation ? capacity->count() : capacity->count() - capacity->count() / smallShareDivisor;
    }

    OrderedMutex mutex { LockLevel::Memory };
    const std::optional<ByteCount> capacity;
    std::minstd_rand random;
    std::uint64_t held { 0 };
    std::uint64_t released { 0 };
    std::uint64_t releasedBefore { 0 };
    std::optional<TimePoint> periodStart;
    /// When the callers that were told to wait will have been served.
    TimePoint queueEnd {};
};

MemoryBudget::Reservation::Reservation(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

MemoryBudget::Reservation::Reservation(Reservation&& other) noexcept
    : state_(std::move(other.state_))
    , size_(std::exchange(other.size_, {}))
{
}

MemoryBudget::Reservation& MemoryBudget::Reservation::operator=(Reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    shrinkTo(ByteCount(0));
    state_ = std::move(other.state_);
    size_ = std::exchange(other.size_, {});
    return *this;
}

MemoryBudget::Reservation::~Reservation()
{
    shrinkTo(ByteCount(0));
}

bool MemoryBudget::Reservation::growTo(ByteCount size, MemoryUse use)
{
    if (size <= size_)
        return true;
    if (!state_)
        return false;
    const std::lock_guard lock(state_->mutex);
    const auto others = state_->held - size_.count();
    if (state_->capacity) {
        const auto limit = state_->limitFor(size, use);
        if (others > limit || size.count() > limit - others)
            return false;
    }
    state_->held = others + size.count();
    size_ = size;
    return true;
}

void MemoryBudget::Reservation::shrinkTo(ByteCount size)
{
    if (!state_ || size_ <= size)
        return;
    const std::lock_guard lock(state_->mutex);
    const auto excess = size_.count() - size.count();
    state_->held -= excess;
    state_->released += excess;
    size_ = size;
}

MemoryBudget::MemoryBudget(std::optional<ByteCount> capacity, std::uint64_t seed)
    : state_(std::make_shared<State>(capacity, seed))
{
}

MemoryBudget::Reservation MemoryBudget::open() const
{
    return Reservation(state_);
}

std::optional<MemoryBudget::Reservation> MemoryBudget::reserve(ByteCount size) const
{
    auto reservation = open();
    if (!reservation.growTo(size))
        return std::nullopt;
    return reservation;
}

std::chrono::milliseconds MemoryBudget::estimateWait(TimePoint now, ByteCount size) const
{
    const std::lock_guard lock(state_->mutex);
    if (!state_->capacity)
        return std::chrono::ceil<std::chrono::milliseconds>(minWait);
    const bool isRateKnown = state_->periodStart && now - *state_->periodStart < 2 * ratePeriod;
    if (!isRateKnown || now - *state_->periodStart >= ratePeriod) {
        state_->releasedBefore = isRateKnown ? state_->released : 0;
        state_->released = 0;
        state_->periodStart = now;
    }
    const auto limit = state_->limitFor(size);
    const auto room = limit > state_->held ? limit - state_->held : 0;
    const auto missing = static_cast<double>(size.count() > room ? size.count() - room : 0);
    const auto seconds = std::chrono::duration<double>(ratePeriod + (now - *state_->periodStart)).count();
    const auto rate = static_cast<double>(state_->released + state_->releasedBefore) / seconds;
    const auto maxSeconds = std::chrono::duration<double>(maxWait).count();
    const auto minSeconds = std::chrono::duration<double>(minWait).count();
    // Refused requests come back one after another, as if they stood in a queue.
    state_->queueEnd = std::max(state_->queueEnd, now);
    if (rate > 0) {
        const auto served = std::min((missing + static_cast<double>(size.count())) / rate, maxSeconds);
        state_->queueEnd = std::min(state_->queueEnd + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(served)), now + maxWait);
    }
    const auto queued = std::chrono::duration<double>(state_->queueEnd - now).count();
    const auto wanted = rate > 0 ? std::clamp(queued, minSeconds, maxSeconds) : maxSeconds;
    const auto wait = isRateKnown ? wanted : std::chrono::duration<double>(waitAtUnknownRate).count();
    const auto spread = 1 + maxWaitSpread * std::generate_canonical<double, 32>(state_->random);
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(std::min(wait * spread, maxSeconds)));
}

ByteCount MemoryBudget::held() const
{
    const std::lock_guard lock(state_->mutex);
    return ByteCount(state_->held);
}

} // namespace Ibisturn
