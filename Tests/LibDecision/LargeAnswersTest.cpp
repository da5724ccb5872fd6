#include <LibDecision/Dissemination/LargeAnswers.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const InstanceId peer("peer");
const InstanceId otherPeer("other");
const std::vector<Revision> requested { Revision(5), Revision(8) };

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

StoreUpdate answerOf(std::size_t bytes)
{
    StoreUpdate answer;
    answer.changes = { { "first", std::string(bytes / 2, 'v'), Revision(6) }, { "removed", std::nullopt, Revision(7) }, { "second", std::string(bytes - bytes / 2, 'v'), Revision(9) } };
    return answer;
}

} // namespace

// Guards against a large answer that is sent over a slow link again and again.
TEST(LargeAnswers, TheSameRequestIsRepeatedForAWhile)
{
    LargeAnswers answers;
    EXPECT_FALSE(answers.isRepeated(at(0s), peer, requested));
    answers.onAnswer(at(0s), peer, requested, answerOf(LargeAnswers::minBytes + 1));
    EXPECT_TRUE(answers.isRepeated(at(200ms), peer, requested));
    EXPECT_TRUE(answers.isRepeated(at(999ms), peer, requested));
    EXPECT_FALSE(answers.isRepeated(at(200ms), otherPeer, requested));
    EXPECT_FALSE(answers.isRepeated(at(1000ms), peer, requested));
}

// Guards against a small change, such as a backend server that leaves, that waits because a large one went before it.
TEST(LargeAnswers, ARequestAfterTheAnswerHasArrivedIsNotRepeated)
{
    LargeAnswers answers;
    answers.onAnswer(at(0s), peer, requested, answerOf(LargeAnswers::minBytes + 1));
    EXPECT_FALSE(answers.isRepeated(at(100ms), peer, { Revision(5), Revision(9) }));
    EXPECT_FALSE(answers.isRepeated(at(100ms), peer, { Revision(1, StoreEra(1)), Revision(1, StoreEra(1)) }));
    answers.onAnswer(at(100ms), peer, { Revision(5), Revision(9) }, answerOf(10));
    EXPECT_TRUE(answers.isRepeated(at(200ms), peer, requested));
}

// A process that has started anew has lost what was sent to its predecessor.
TEST(LargeAnswers, ARequestOfANewProcessIsNotRepeated)
{
    LargeAnswers answers;
    answers.onAnswer(at(0s), peer, requested, answerOf(LargeAnswers::minBytes + 1));
    EXPECT_FALSE(answers.isRepeated(at(100ms), peer, { Revision(), Revision() }));
    EXPECT_FALSE(answers.isRepeated(at(100ms), peer, {}));
}

TEST(LargeAnswers, ASmallAnswerMayBeRepeated)
{
    LargeAnswers answers;
    answers.onAnswer(at(0s), peer, requested, answerOf(LargeAnswers::minBytes));
    EXPECT_FALSE(answers.isRepeated(at(100ms), peer, requested));
}

} // namespace Ibisturn::Testing
