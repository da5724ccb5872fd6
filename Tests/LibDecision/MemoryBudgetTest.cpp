#include <LibDecision/Admission/MemoryBudget.h>

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t mebibyte = 1024UL * 1024;
constexpr ByteCount capacity { 64 * mebibyte };
constexpr ByteCount large { 8 * mebibyte };

} // namespace

TEST(MemoryBudget, LargeReservationsLeaveRoomForSmallOnes)
{
    const MemoryBudget budget(capacity);
    std::vector<MemoryBudget::Reservation> held;
    while (auto reservation = budget.reserve(large))
        held.push_back(std::move(*reservation));
    EXPECT_EQ(held.size(), 7U);
    EXPECT_TRUE(budget.reserve(MemoryBudget::smallReservation));
    EXPECT_FALSE(budget.reserve(MemoryBudget::smallReservation + ByteCount(1)));
    held.pop_back();
    EXPECT_TRUE(budget.reserve(large));
}

TEST(MemoryBudget, AReservationThatCannotGrowKeepsItsSize)
{
    const MemoryBudget budget(capacity);
    auto first = budget.open();
    EXPECT_TRUE(first.growTo(ByteCount(50 * mebibyte)));
    auto second = budget.open();
    EXPECT_TRUE(second.growTo(ByteCount(mebibyte)));
    EXPECT_FALSE(second.growTo(ByteCount(10 * mebibyte)));
    EXPECT_EQ(second.size(), ByteCount(mebibyte));
    EXPECT_EQ(budget.held(), ByteCount(51 * mebibyte));
    first = std::move(second);
    EXPECT_EQ(budget.held(), ByteCount(mebibyte));
}

TEST(MemoryBudget, SizesNearTheEndOfTheirRangeDoNotWrapAround)
{
    const MemoryBudget budget(capacity);
    const auto held = budget.reserve(large);
    EXPECT_TRUE(held);
    EXPECT_FALSE(budget.reserve(ByteCount(~0UL)));
    EXPECT_FALSE(budget.reserve(ByteCount(~0UL - large.count() + 1)));
}

TEST(MemoryBudget, AReservationMayOutliveItsBudget)
{
    std::optional<MemoryBudget::Reservation> reservation;
    {
        const MemoryBudget budget(capacity);
        reservation = budget.reserve(large);
    }
    EXPECT_TRUE(reservation);
}

TEST(MemoryBudget, WaitsFollowTheRateOfReleases)
{
    const MemoryBudget budget(capacity);
    const TimePoint start(10s);
    auto held = budget.reserve(ByteCount(56 * mebibyte));
    const auto unknown = budget.estimateWait(start, large);
    EXPECT_GE(unknown, 500ms);
    EXPECT_LE(unknown, 750ms);
    EXPECT_EQ(budget.estimateWait(start + 100ms, large), MemoryBudget::maxWait);
    for (int count = 0; count < 4; ++count) {
        held.reset();
        held = budget.reserve(ByteCount(56 * mebibyte));
    }
    const auto wait = budget.estimateWait(start + 500ms, large);
    EXPECT_GE(wait, MemoryBudget::minWait);
    EXPECT_LE(wait, 300ms);
    for (const auto later : { 1100ms, 2050ms, 3000ms })
        static_cast<void>(budget.estimateWait(start + later, large));
    EXPECT_EQ(budget.estimateWait(start + 3100ms, large), MemoryBudget::maxWait);
}

// Guards against waits that call all refused callers back for the same piece of memory.
TEST(MemoryBudget, CallersThatAreRefusedTogetherReturnOneAfterAnother)
{
    const MemoryBudget budget(capacity);
    const TimePoint start(10s);
    static_cast<void>(budget.estimateWait(start, large));
    for (int count = 0; count < 10; ++count)
        EXPECT_TRUE(budget.reserve(large));
    const auto held = budget.reserve(ByteCount(56 * mebibyte));
    ASSERT_TRUE(held);
    const auto first = budget.estimateWait(start + 1s, large);
    auto last = first;
    for (int count = 0; count < 7; ++count)
        last = budget.estimateWait(start + 1s, large);
    EXPECT_LE(first, 1s);
    EXPECT_GE(last, 1500ms);
}

RC_GTEST_PROP(MemoryBudget, HoldsExactlyWhatIsReservedAndNeverMoreThanItsCapacity, ())
{
    const MemoryBudget budget(capacity);
    std::vector<MemoryBudget::Reservation> held;
    for (const auto step : *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 16 * mebibyte))) {
        if (step % 3 == 0 && !held.empty())
            held.erase(held.begin() + static_cast<std::ptrdiff_t>(step % held.size()));
        else if (auto reservation = budget.reserve(ByteCount(step)))
            held.push_back(std::move(*reservation));
        ByteCount sum;
        for (const auto& reservation : held)
            sum += reservation.size();
        RC_ASSERT(budget.held() == sum);
        RC_ASSERT(sum <= capacity);
    }
}

} // namespace Ibisturn
