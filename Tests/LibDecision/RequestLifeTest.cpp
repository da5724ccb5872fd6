#include <LibDecision/Requests/RequestLife.h>

#include <array>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using std::chrono::seconds;

constexpr AttemptId first(1);
constexpr AttemptId second(2);
const BackendServerId engine("engine-khomas");

TimePoint at(int second)
{
    return TimePoint {} + seconds(second);
}

/// Creates requests that are connecting for their first attempt, or beyond.
class RequestLifeTest : public testing::Test {
protected:
    RequestLife begin(Repeatability repeatability, HopsLeft hops = HopsLeft::One, Place place = RunHere { engine })
    {
        RequestLife life({ hops, at(100), [this](TimePoint) { return retriesLeft_-- > 0; } });
        life.handle(HeadRead {}, at(0));
        life.handle(BodyTaken { repeatability }, at(0));
        life.handle(PlaceChosen { std::move(place) }, at(0));
        return life;
    }

    RequestLife beginHandedOver(Repeatability repeatability, HopsLeft hops = HopsLeft::One, Place place = RunHere { engine })
    {
        auto life = begin(repeatability, hops, std::move(place));
        life.handle(HandOverAsked { first }, at(0));
        return life;
    }

    int retriesLeft_ { 1 };
};

template <typename Action>
const Action& only(const RequestActions& actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.back());
}

const AttemptFailed brokenAfterHandOver { first, ResultCode::OutcomeUnknown, Ran::Unknown };

} // namespace

TEST_F(RequestLifeTest, RefusesOnTheHeadBeforeTheBody)
{
    RequestLife life({ HopsLeft::One, at(100), nullptr });
    const auto actions = life.handle(HeadRead { ResultCode::ResidencyRefused }, at(0));
    EXPECT_EQ(only<AnswerWithError>(actions).ran, Ran::No);
    EXPECT_TRUE(life.handle(BodyTaken {}, at(0)).empty());
}

TEST_F(RequestLifeTest, RefusesTheHandOverAfterAWithdrawal)
{
    auto life = begin(Repeatability::NonIdempotent);
    const auto actions = life.handle(HandOverAsked { first, ResultCode::KeyUnknown }, at(1));
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(actions.front()));
    EXPECT_EQ(std::get<AnswerWithError>(actions.back()).code, ResultCode::KeyUnknown);
    EXPECT_EQ(std::get<AnswerWithError>(actions.back()).ran, Ran::No);
}

TEST_F(RequestLifeTest, TriesANonIdempotentRequestAgainOnlyBeforeItsHandOver)
{
    auto connecting = begin(Repeatability::NonIdempotent);
    only<ChoosePlace>(connecting.handle(AttemptFailed { first, ResultCode::BackendUnreachable, Ran::No }, at(1)));
    EXPECT_TRUE(connecting.failedBackendServers().contains(engine));
    auto handedOver = beginHandedOver(Repeatability::NonIdempotent);
    EXPECT_EQ(only<AnswerWithError>(handedOver.handle(brokenAfterHandOver, at(1))).ran, Ran::Unknown);
}

TEST_F(RequestLifeTest, TriesAgainOnlyWithinBudgetAndDeadline)
{
    auto life = beginHandedOver(Repeatability::Idempotent);
    only<ChoosePlace>(life.handle(brokenAfterHandOver, at(1)));
    auto withoutBudget = beginHandedOver(Repeatability::Idempotent);
    only<AnswerWithError>(withoutBudget.handle(brokenAfterHandOver, at(1)));
    retriesLeft_ = 1;
    auto late = beginHandedOver(Repeatability::Idempotent);
    only<AnswerWithError>(late.handle(brokenAfterHandOver, at(100)));
}

TEST_F(RequestLifeTest, ReceiverNeitherTriesAgainNorForwards)
{
    auto life = beginHandedOver(Repeatability::Idempotent, HopsLeft::None);
    only<AnswerWithError>(life.handle(brokenAfterHandOver, at(1)));
    RequestLife receiver({ HopsLeft::None, at(100), nullptr });
    receiver.handle(HeadRead {}, at(0));
    receiver.handle(BodyTaken {}, at(0));
    only<AnswerWithError>(receiver.handle(PlaceChosen { ForwardTo { InstanceId("omaheke-1") } }, at(0)));
}

TEST_F(RequestLifeTest, BelievesNotRunOfAPeerOnly)
{
    const AttemptFailed denied { first, ResultCode::Draining, Ran::No };
    auto forwarded = beginHandedOver(Repeatability::NonIdempotent, HopsLeft::One, ForwardTo { InstanceId("omaheke-1") });
    only<ChoosePlace>(forwarded.handle(denied, at(1)));
    EXPECT_TRUE(forwarded.failedInstances().contains(InstanceId("omaheke-1")));
    auto here = beginHandedOver(Repeatability::NonIdempotent);
    EXPECT_EQ(only<AnswerWithError>(here.handle(denied, at(1))).ran, Ran::Unknown);
}

TEST_F(RequestLifeTest, RemembersAnUnknownOutcomeAcrossAttempts)
{
    auto life = beginHandedOver(Repeatability::Idempotent);
    life.handle(brokenAfterHandOver, at(1));
    const auto actions = life.handle(PlaceChosen { RefuseRequest { ResultCode::NoBackendServer } }, at(1));
    EXPECT_EQ(only<AnswerWithError>(actions).ran, Ran::Unknown);
    EXPECT_EQ(only<AnswerWithError>(actions).code, ResultCode::OutcomeUnknown);
}

TEST_F(RequestLifeTest, ResumesACutStreamOnlyWhereItCan)
{
    const AttemptFailed cut { first, ResultCode::AnswerCut, Ran::Yes };
    auto resuming = beginHandedOver(Repeatability::Idempotent);
    only<PassOn>(resuming.handle(AnswerBegan { first, ResumeSupport::Supported }, at(1)));
    EXPECT_EQ(only<ChoosePlace>(resuming.handle(cut, at(2))).resume, ResumeNeed::AfterLastEvent);
    resuming.handle(PlaceChosen { RunHere { BackendServerId("engine-2") } }, at(2));
    resuming.handle(HandOverAsked { second }, at(2));
    EXPECT_TRUE(resuming.handle(AnswerBegan { second, ResumeSupport::Supported }, at(3)).empty()) << "the head was already sent";
    EXPECT_TRUE(resuming.handle(PartArrived { first }, at(3)).empty()) << "late";
    only<PassOn>(resuming.handle(PartArrived { second }, at(3)));
    only<EndAnswer>(resuming.handle(AnswerEnded { second }, at(4)));
    retriesLeft_ = 1;
    auto other = beginHandedOver(Repeatability::Idempotent);
    other.handle(AnswerBegan { first, ResumeSupport::Unsupported }, at(1));
    EXPECT_EQ(only<CutWithError>(other.handle(cut, at(2))).code, ResultCode::AnswerCut);
    EXPECT_TRUE(other.handle(AnswerEnded { first }, at(3)).empty());
}

TEST_F(RequestLifeTest, EndsARunningStreamVisiblyOnAWithdrawal)
{
    auto life = beginHandedOver(Repeatability::Idempotent);
    life.handle(AnswerBegan { first, ResumeSupport::Supported }, at(1));
    EXPECT_TRUE(life.handle(AccessReviewed {}, at(1)).empty());
    const auto actions = life.handle(AccessReviewed { ResultCode::KeyUnknown }, at(2));
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(actions.front()));
    EXPECT_EQ(std::get<CutWithError>(actions.back()).code, ResultCode::KeyUnknown);
}

TEST_F(RequestLifeTest, CancelsForACallerThatLeftAndADeadline)
{
    const std::array<RequestEvent, 2> reasons { CallerLeft {}, DeadlinePassed {} };
    for (const auto& reason : reasons) {
        auto life = beginHandedOver(Repeatability::Idempotent);
        const auto actions = life.handle(reason, at(1));
        EXPECT_EQ(std::get<CancelAttempt>(actions.front()).attempt, first);
        EXPECT_EQ(std::get<AnswerWithError>(actions.back()).ran, Ran::Unknown);
        EXPECT_TRUE(life.hasEnded());
    }
}

TEST_F(RequestLifeTest, DrainRefusesOnlyWhatIsNotAdmitted)
{
    RequestLife fresh({ HopsLeft::One, at(100), nullptr });
    EXPECT_EQ(only<AnswerWithError>(fresh.handle(DrainBegan {}, at(0))).ran, Ran::No);
    auto admitted = beginHandedOver(Repeatability::Idempotent);
    EXPECT_TRUE(admitted.handle(DrainBegan {}, at(1)).empty());
}

} // namespace Ibisturn
