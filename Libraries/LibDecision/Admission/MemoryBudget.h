#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <chrono>
#include <memory>
#include <optional>

namespace Ibisturn {

/// What reserved bytes are for.
enum class MemoryUse : std::uint8_t {
    Request,
    /// A part of an answer that its caller does not read.
    HeldAnswer,
};

/// Bounds the bytes that an instance holds for the requests of callers and peers. Large reservations leave an eighth of the
/// capacity to small ones, and held answers leave a quarter to requests.
/// Thread safety: all methods from any thread.
class MemoryBudget {
    struct State;

public:
    /// Reserved bytes, which are released when it is destroyed. It may outlive its budget.
    /// Thread safety: one thread at a time.
    class Reservation {
    public:
        /// Reserves nothing and can't grow.
        Reservation() = default;
        Reservation(Reservation&& other) noexcept;
        Reservation& operator=(Reservation&& other) noexcept;
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;
        ~Reservation();

        /// Extends the reservation to `size` bytes in all; returns false, and leaves it as it is, if the budget is used up.
        bool growTo(ByteCount size, MemoryUse use = MemoryUse::Request);

        /// Releases what the reservation has beyond `size` bytes.
        void shrinkTo(ByteCount size);

        ByteCount size() const { return size_; }

    private:
        friend class MemoryBudget;
        explicit Reservation(std::shared_ptr<State> state);
        std::shared_ptr<State> state_;
        ByteCount size_;
    };

    /// A reservation up to this size counts as small.
    static constexpr ByteCount smallReservation { 128UL * 1024 };
    static constexpr Duration minWait = std::chrono::milliseconds(100);
    static constexpr Duration maxWait = std::chrono::seconds(2);

    /// Without a capacity, every reservation succeeds. `seed` varies the waits.
    explicit MemoryBudget(std::optional<ByteCount> capacity, std::uint64_t seed = 0);

    /// An empty reservation, to be extended as bytes arrive.
    Reservation open() const;

    /// Reserves `size` bytes; empty if the budget is used up.
    std::optional<Reservation> reserve(ByteCount size) const;

    /// When a refused request for `size` bytes is worth another attempt, from the rate at which reservations were released:
    /// between `minWait` and `maxWait`, varied so that callers don't return together. Precondition: `now` does not go backwards.
    std::chrono::milliseconds estimateWait(TimePoint now, ByteCount size) const;

    ByteCount held() const;

private:
    std::shared_ptr<State> state_;
};

} // namespace Ibisturn
