#include <LibDecision/Streams/StreamBinding.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

const SoftwareVersion first("1");
const SoftwareVersion second("2");
const SoftwareVersion unknown;

} // namespace

// A stream that goes on at another version than the one whose event the caller has does not fit together.
TEST(StreamBinding, StaysWithTheVersionOfTheFirstEvent)
{
    auto binding = StreamBinding::forNewStream();
    EXPECT_FALSE(binding.requiredVersion());
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Resumable);
    EXPECT_TRUE(binding.onEventRelayed());
    EXPECT_EQ(binding.requiredVersion(), first);
    EXPECT_EQ(binding.onAnswerBegan(second), StreamAnswer::Rejected);
    EXPECT_EQ(binding.onAnswerBegan(unknown), StreamAnswer::Rejected);
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Resumable);
    // Only the first event of a request is noted.
    EXPECT_FALSE(binding.onEventRelayed());
    EXPECT_EQ(binding.requiredVersion(), first);
}

// A stream that is bound too early fails although servers of another version could still begin it.
TEST(StreamBinding, MayBeginAgainAtAnotherVersionBeforeItsFirstEvent)
{
    auto binding = StreamBinding::forNewStream();
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Resumable);
    EXPECT_FALSE(binding.requiredVersion());
    EXPECT_EQ(binding.onAnswerBegan(second), StreamAnswer::Resumable);
    EXPECT_TRUE(binding.onEventRelayed());
    EXPECT_EQ(binding.requiredVersion(), second);
}

// An answer that a peer of an older version of ibisturn relays could be joined with one of any version.
TEST(StreamBinding, DoesNotGoOnAfterEventsOfAnUnknownVersion)
{
    auto binding = StreamBinding::forNewStream();
    EXPECT_EQ(binding.onAnswerBegan(unknown), StreamAnswer::NotResumable);
    EXPECT_TRUE(binding.onEventRelayed());
    EXPECT_FALSE(binding.requiredVersion());
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Rejected);
    EXPECT_EQ(binding.onAnswerBegan(unknown), StreamAnswer::Rejected);
}

TEST(StreamBinding, AResumptionIsBoundFromTheStart)
{
    auto binding = StreamBinding::forVersion(first);
    EXPECT_EQ(binding.requiredVersion(), first);
    EXPECT_EQ(binding.onAnswerBegan(second), StreamAnswer::Rejected);
    EXPECT_EQ(binding.onAnswerBegan(unknown), StreamAnswer::Rejected);
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Resumable);
    EXPECT_TRUE(binding.onEventRelayed());
    EXPECT_EQ(binding.requiredVersion(), first);
}

// Answers of routes that can't be resumed must not be refused for a version.
TEST(StreamBinding, OtherRequestsAreNotBound)
{
    StreamBinding binding;
    EXPECT_EQ(binding.onAnswerBegan(first), StreamAnswer::Resumable);
    EXPECT_FALSE(binding.onEventRelayed());
    EXPECT_EQ(binding.onAnswerBegan(second), StreamAnswer::Resumable);
    EXPECT_FALSE(binding.requiredVersion());
}

} // namespace Ibisturn::Testing
