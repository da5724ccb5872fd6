#include "RequestWorld.h"

#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>

namespace Ibisturn::Tests {

namespace {

constexpr std::uint64_t defaultSeed = 20261204;
constexpr std::uint64_t scheduleCount = 20000;
constexpr std::uint64_t mutatedScheduleCount = 1000;

std::uint64_t firstSeed()
{
    const char* text = std::getenv("IBISTURN_SEED"); // NOLINT(concurrency-mt-unsafe): one thread
    return text ? std::strtoull(text, nullptr, 10) : defaultSeed;
}

std::string violationOf(std::uint64_t seed, Mutation mutation)
{
    RequestWorld world(seed, mutation);
    world.run();
    return findViolation(world);
}

class MutationTest : public testing::TestWithParam<Mutation> {
};

} // namespace

TEST(RequestSchedule, InvariantsHoldUnderRandomFaults)
{
    const auto seed = firstSeed();
    std::map<std::string, int> ends;
    for (std::uint64_t index = 0; index < scheduleCount; ++index) {
        RequestWorld world(seed + index, Mutation::None);
        world.run();
        ASSERT_EQ(findViolation(world), "") << "IBISTURN_SEED=" << seed + index;
        for (const auto& [request, answer] : world.answers()) {
            ++ends[answer.ends > 0 ? "whole" : answer.ran == Ran::No ? "not run"
                    : answer.ran == Ran::Yes                         ? "cut"
                                                                     : "unknown"];
            const auto isResumed = [&request = request](const ObservedRun& run) { return run.request == request && run.firstToken > 0; };
            ends["resumed"] += answer.ends > 0 && std::any_of(world.runs().begin(), world.runs().end(), isResumed) ? 1 : 0;
        }
    }
    fmt::print("schedules={} seed={}", scheduleCount, seed);
    for (const auto& [name, count] : ends)
        fmt::print(" {}={}", name, count);
    fmt::print("\n");
    // Each outcome must occur, otherwise the schedules do not test it.
    for (const auto* name : { "whole", "resumed", "not run", "cut", "unknown" })
        EXPECT_GT(ends[name], 100) << name;
}

TEST_P(MutationTest, IsDetectedByTheChecker)
{
    const auto seed = firstSeed();
    int detected = 0;
    for (std::uint64_t index = 0; index < mutatedScheduleCount; ++index)
        detected += violationOf(seed + index, GetParam()).empty() ? 0 : 1;
    EXPECT_GT(detected, 0);
}

INSTANTIATE_TEST_SUITE_P(RequestSchedule, MutationTest,
    testing::Values(Mutation::SendRequestTwice, Mutation::CleanEndOnTruncation, Mutation::PeerDeniesRun, Mutation::AccessIgnored, Mutation::AnswersSwapped,
        Mutation::ReceiverForwards));

} // namespace Ibisturn::Tests
