#include <LibDecision/Requests/RequestLifecycle.h>

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
class RequestLifecycleTest : public testing::Test {
protected:
    RequestLifecycle begin(Repeatability repeatability, HopsLeft hops = HopsLeft::One, Place place = RunHere { engine })
    {
        RequestLifecycle lifecycle({ hops, at(100), [this](TimePoint) { return retriesLeft_-- > 0; } });
        lifecycle.handle(HeadRead {}, at(0));
        lifecycle.handle(BodyRead { repeatability }, at(0));
        lifecycle.handle(PlaceChosen { std::move(place) }, at(0));
        return lifecycle;
    }

    RequestLifecycle beginSent(Repeatability repeatability, HopsLeft hops = HopsLeft::One, Place place = RunHere { engine })
    {
        auto lifecycle = begin(repeatability, hops, std::move(place));
        lifecycle.handle(ConnectionReady { first }, at(0));
        return lifecycle;
    }

    int retriesLeft_ { 1 };
};

template <typename Action>
const Action& only(const RequestActions& actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.back());
}

const AttemptFailed failedAfterSending { first, ResultCode::OutcomeUnknown, Ran::Unknown };

} // namespace

TEST_F(RequestLifecycleTest, RefusesOnTheHeadBeforeTheBody)
{
    RequestLifecycle lifecycle({ HopsLeft::One, at(100), nullptr });
    const auto actions = lifecycle.handle(HeadRead { ResultCode::ResidencyRefused }, at(0));
    EXPECT_EQ(only<AnswerWithError>(actions).ran, Ran::No);
    EXPECT_TRUE(lifecycle.handle(BodyRead {}, at(0)).empty());
}

TEST_F(RequestLifecycleTest, RefusesToSendAfterAWithdrawal)
{
    auto lifecycle = begin(Repeatability::NonIdempotent);
    const auto actions = lifecycle.handle(ConnectionReady { first, ResultCode::KeyUnknown }, at(1));
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(actions.front()));
    EXPECT_EQ(std::get<AnswerWithError>(actions.back()).code, ResultCode::KeyUnknown);
    EXPECT_EQ(std::get<AnswerWithError>(actions.back()).ran, Ran::No);
}

TEST_F(RequestLifecycleTest, RetriesANonIdempotentRequestOnlyBeforeItIsSent)
{
    auto connecting = begin(Repeatability::NonIdempotent);
    only<ChoosePlace>(connecting.handle(AttemptFailed { first, ResultCode::BackendUnreachable, Ran::No }, at(1)));
    EXPECT_TRUE(connecting.failedBackendServers().contains(engine));
    auto sent = beginSent(Repeatability::NonIdempotent);
    EXPECT_EQ(only<AnswerWithError>(sent.handle(failedAfterSending, at(1))).ran, Ran::Unknown);
}

TEST_F(RequestLifecycleTest, RetriesOnlyWithinBudgetAndDeadline)
{
    auto lifecycle = beginSent(Repeatability::Idempotent);
    only<ChoosePlace>(lifecycle.handle(failedAfterSending, at(1)));
    auto withoutBudget = beginSent(Repeatability::Idempotent);
    only<AnswerWithError>(withoutBudget.handle(failedAfterSending, at(1)));
    retriesLeft_ = 1;
    auto late = beginSent(Repeatability::Idempotent);
    only<AnswerWithError>(late.handle(failedAfterSending, at(100)));
}

TEST_F(RequestLifecycleTest, ReceiverNeitherRetriesNorForwards)
{
    auto lifecycle = beginSent(Repeatability::Idempotent, HopsLeft::None);
    only<AnswerWithError>(lifecycle.handle(failedAfterSending, at(1)));
    RequestLifecycle receiver({ HopsLeft::None, at(100), nullptr });
    receiver.handle(HeadRead {}, at(0));
    receiver.handle(BodyRead {}, at(0));
    only<AnswerWithError>(receiver.handle(PlaceChosen { ForwardTo { InstanceId("omaheke-1") } }, at(0)));
}

TEST_F(RequestLifecycleTest, TrustsNotRunFromPeersOnly)
{
    const AttemptFailed denied { first, ResultCode::Draining, Ran::No };
    auto forwarded = beginSent(Repeatability::NonIdempotent, HopsLeft::One, ForwardTo { InstanceId("omaheke-1") });
    only<ChoosePlace>(forwarded.handle(denied, at(1)));
    EXPECT_TRUE(forwarded.failedInstances().contains(InstanceId("omaheke-1")));
    auto here = beginSent(Repeatability::NonIdempotent);
    EXPECT_EQ(only<AnswerWithError>(here.handle(denied, at(1))).ran, Ran::Unknown);
}

TEST_F(RequestLifecycleTest, RemembersAnUnknownOutcomeAcrossAttempts)
{
    auto lifecycle = beginSent(Repeatability::Idempotent);
    lifecycle.handle(failedAfterSending, at(1));
    const auto actions = lifecycle.handle(PlaceChosen { RefuseRequest { ResultCode::NoBackendServer } }, at(1));
    EXPECT_EQ(only<AnswerWithError>(actions).ran, Ran::Unknown);
    EXPECT_EQ(only<AnswerWithError>(actions).code, ResultCode::OutcomeUnknown);
}

TEST_F(RequestLifecycleTest, ResumesATruncatedStreamOnlyIfSupported)
{
    const AttemptFailed truncated { first, ResultCode::AnswerCut, Ran::Yes };
    auto resuming = beginSent(Repeatability::Idempotent);
    only<RelayToCaller>(resuming.handle(AnswerBegan { first, ResumeSupport::Supported }, at(1)));
    EXPECT_EQ(only<ChoosePlace>(resuming.handle(truncated, at(2))).resume, ResumeNeed::AfterLastEvent);
    resuming.handle(PlaceChosen { RunHere { BackendServerId("engine-2") } }, at(2));
    resuming.handle(ConnectionReady { second }, at(2));
    EXPECT_TRUE(resuming.handle(AnswerBegan { second, ResumeSupport::Supported }, at(3)).empty()) << "the head was already sent";
    EXPECT_TRUE(resuming.handle(AnswerPartArrived { first }, at(3)).empty()) << "late";
    only<RelayToCaller>(resuming.handle(AnswerPartArrived { second }, at(3)));
    only<EndAnswer>(resuming.handle(AnswerEnded { second }, at(4)));
    retriesLeft_ = 1;
    auto other = beginSent(Repeatability::Idempotent);
    other.handle(AnswerBegan { first, ResumeSupport::Unsupported }, at(1));
    EXPECT_EQ(only<TruncateWithError>(other.handle(truncated, at(2))).code, ResultCode::AnswerCut);
    EXPECT_TRUE(other.handle(AnswerEnded { first }, at(3)).empty());
}

TEST_F(RequestLifecycleTest, EndsARunningStreamWithAnErrorOnAWithdrawal)
{
    auto lifecycle = beginSent(Repeatability::Idempotent);
    lifecycle.handle(AnswerBegan { first, ResumeSupport::Supported }, at(1));
    EXPECT_TRUE(lifecycle.handle(AccessReviewed {}, at(1)).empty());
    const auto actions = lifecycle.handle(AccessReviewed { ResultCode::KeyUnknown }, at(2));
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(actions.front()));
    EXPECT_EQ(std::get<TruncateWithError>(actions.back()).code, ResultCode::KeyUnknown);
}

TEST_F(RequestLifecycleTest, CancelsOnCallerDisconnectAndDeadline)
{
    const std::array<RequestEvent, 2> reasons { CallerDisconnected {}, DeadlinePassed {} };
    for (const auto& reason : reasons) {
        auto lifecycle = beginSent(Repeatability::Idempotent);
        const auto actions = lifecycle.handle(reason, at(1));
        EXPECT_EQ(std::get<CancelAttempt>(actions.front()).attempt, first);
        EXPECT_EQ(std::get<AnswerWithError>(actions.back()).ran, Ran::Unknown);
        EXPECT_TRUE(lifecycle.hasEnded());
    }
}

TEST_F(RequestLifecycleTest, DrainRefusesOnlyRequestsNotYetAdmitted)
{
    RequestLifecycle fresh({ HopsLeft::One, at(100), nullptr });
    EXPECT_EQ(only<AnswerWithError>(fresh.handle(DrainBegan {}, at(0))).ran, Ran::No);
    auto admitted = beginSent(Repeatability::Idempotent);
    EXPECT_TRUE(admitted.handle(DrainBegan {}, at(1)).empty());
}

} // namespace Ibisturn
