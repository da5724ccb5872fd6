#pragma once

#include <compare>
#include <cstdint>

#include <fmt/format.h>

namespace Ibisturn {

/// A number with a unit. Quantities of different units are distinct types.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template <typename Tag, typename Representation>
class Quantity {
public:
    /// Creates a zero quantity.
    constexpr Quantity() = default;

    /// Wraps `count` units.
    constexpr explicit Quantity(Representation count)
        : count_(count)
    {
    }

    /// The number of units.
    constexpr Representation count() const { return count_; }

    constexpr auto operator<=>(const Quantity&) const = default;

    constexpr Quantity& operator+=(Quantity other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr Quantity& operator-=(Quantity other)
    {
        count_ -= other.count_;
        return *this;
    }

    friend constexpr Quantity operator+(Quantity left, Quantity right) { return left += right; }
    friend constexpr Quantity operator-(Quantity left, Quantity right) { return left -= right; }

private:
    Representation count_ {};
};

using ByteCount = Quantity<struct ByteTag, std::uint64_t>;
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;
using RequestId = Quantity<struct RequestIdTag, std::uint64_t>;
using TokenCount = Quantity<struct TokenTag, std::int64_t>;
using TokensPerSecond = Quantity<struct TokenRateTag, double>;

} // namespace Ibisturn

template <typename Tag, typename Representation>
struct fmt::formatter<Ibisturn::Quantity<Tag, Representation>> : fmt::formatter<Representation> {
    template <typename Context>
    auto format(const Ibisturn::Quantity<Tag, Representation>& quantity, Context& context) const
    {
        return fmt::formatter<Representation>::format(quantity.count(), context);
    }
};
