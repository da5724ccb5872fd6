#include <LibDecision/Admission/HeldAnswers.h>
#include <LibDecision/Admission/MemoryBudget.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

} // namespace

TEST(HeldAnswers, TheOneThatIsHeldLongestWithoutProgressIsGivenUpFirst)
{
    HeldAnswers answers;
    const auto first = answers.add(at(0s));
    const auto second = answers.add(at(100ms));
    const auto third = answers.add(at(200ms));
    answers.onProgress(at(1s), first);
    EXPECT_EQ(answers.longestStalled(at(2s)), second);
    answers.remove(second);
    EXPECT_EQ(answers.longestStalled(at(2s)), third);
    answers.remove(third);
    EXPECT_EQ(answers.longestStalled(at(2s)), std::nullopt);
    EXPECT_EQ(answers.longestStalled(at(2500ms)), first);
}

// Guards against answers of callers that read at their own pace being cut because others need memory.
TEST(HeldAnswers, AnAnswerThatMakesProgressIsNotGivenUp)
{
    HeldAnswers answers;
    const auto answer = answers.add(at(0s));
    for (auto time = 0ms; time < 20s; time += 500ms) {
        answers.onProgress(at(time), answer);
        EXPECT_EQ(answers.longestStalled(at(time + 400ms)), std::nullopt);
    }
}

// A frozen instance finds all answers old when it wakes, though its callers could take nothing meanwhile.
TEST(HeldAnswers, APauseOfTheInstanceDoesNotCountAsStall)
{
    HeldAnswers answers;
    const auto answer = answers.add(at(0s));
    answers.advance(at(1s));
    EXPECT_EQ(answers.longestStalled(at(11s)), std::nullopt);
    answers.advance(at(12s));
    EXPECT_EQ(answers.longestStalled(at(12499ms)), std::nullopt);
    EXPECT_EQ(answers.longestStalled(at(12500ms)), answer);
}

TEST(HeldAnswers, UnknownIdsAreIgnored)
{
    HeldAnswers answers;
    answers.onProgress(at(0s), HeldAnswerId(7));
    answers.remove(HeldAnswerId(7));
    EXPECT_EQ(answers.size(), 0U);
    EXPECT_EQ(answers.longestStalled(at(10s)), std::nullopt);
}

// Guards against slow readers of answers who leave no memory for requests.
TEST(HeldAnswers, LeaveAQuarterOfTheMemoryToRequests)
{
    const MemoryBudget budget(ByteCount(1'000'000));
    auto held = budget.open();
    EXPECT_FALSE(held.growTo(ByteCount(750'001), MemoryUse::HeldAnswer));
    EXPECT_TRUE(held.growTo(ByteCount(750'000), MemoryUse::HeldAnswer));
    auto small = budget.open();
    EXPECT_FALSE(small.growTo(ByteCount(1), MemoryUse::HeldAnswer));
    EXPECT_TRUE(small.growTo(ByteCount(100'000)));
}

} // namespace Ibisturn::Testing
