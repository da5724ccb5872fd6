#pragma once

#include <LibCore/Quantity.h>

#include <compare>
#include <cstdint>

#include <fmt/format.h>

namespace Ibisturn {

/// Counts how often the platform's store has come back from an older copy of its data.
using StoreEra = Quantity<struct StoreEraTag, std::int64_t>;

/// A revision of the platform's store. Its number increases with each change within an era. A store that comes back from an older copy
/// begins a new era, in which it gives out numbers again, so revisions are ordered by their eras first.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class Revision {
public:
    constexpr Revision() = default;

    /// The revision with this number; stores that never lose changes stay in the first era.
    constexpr explicit Revision(std::int64_t number, StoreEra era = {})
        : era_(era)
        , number_(number)
    {
    }

    constexpr StoreEra era() const { return era_; }
    constexpr std::int64_t number() const { return number_; }

    /// The revisions right after and right before this one, in the same era.
    constexpr Revision next() const { return Revision(number_ + 1, era_); }
    constexpr Revision previous() const { return Revision(number_ - 1, era_); }

    constexpr auto operator<=>(const Revision&) const = default;

private:
    // In the order of comparison.
    StoreEra era_;
    std::int64_t number_ { 0 };
};

} // namespace Ibisturn

/// Writes the number, followed by the era unless it is the first.
template <>
struct fmt::formatter<Ibisturn::Revision> {
    static constexpr auto parse(format_parse_context& context) { return context.begin(); }

    template <typename Context>
    auto format(const Ibisturn::Revision& revision, Context& context) const
    {
        if (revision.era() == Ibisturn::StoreEra())
            return fmt::format_to(context.out(), "{}", revision.number());
        return fmt::format_to(context.out(), "{}@{}", revision.number(), revision.era());
    }
};
