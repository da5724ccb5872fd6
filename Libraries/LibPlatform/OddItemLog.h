#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Logs items of outside systems that can't be used. An item may be written again at any rate, or there may be thousands of them, so a few
/// lines are written in each period, and one for each name.
/// Thread safety: one thread at a time.
class OddItemLog {
public:
    static constexpr Duration period = std::chrono::seconds(30);
    static constexpr std::size_t linesPerPeriod = 8;

    /// `kind` names the items, such as "entry". Precondition: it outlives this object, usually as a string literal.
    explicit OddItemLog(std::string_view kind)
        : kind_(kind)
    {
    }

    /// The item `name`, which may be empty or of any length, is not used because of `reason`. Returns whether a line was written.
    bool report(TimePoint now, std::string_view name, std::string_view reason);

    /// The number of items reported so far.
    std::uint64_t count() const { return count_; }

private:
    std::string_view kind_;
    TimePoint periodStart_ {};
    std::set<std::string, std::less<>> logged_;
    std::uint64_t count_ { 0 };
    std::uint64_t omitted_ { 0 };
};

} // namespace Ibisturn
