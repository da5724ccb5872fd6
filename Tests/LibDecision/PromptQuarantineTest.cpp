#include <LibDecision/Quarantine/PromptQuarantine.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t common = 1;
constexpr std::uint64_t deadly = 2;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

/// A request whose prompt has these parts and one of its own.
PlacementQuery requestWith(const std::vector<std::uint64_t>& parts, std::uint64_t request)
{
    PlacementQuery query;
    query.service = ServiceId("model");
    query.requestHash = request;
    for (const auto part : parts)
        query.prompt.push_back({ part, TokenCount(100) });
    query.prompt.push_back({ 1000 + request, TokenCount(100) });
    return query;
}

BackendServerId server(int number)
{
    return BackendServerId(fmt::format("s{}", number));
}

/// Lets servers crash one after the other on requests with `parts`, from `begin` on, half a second apart.
void crash(PromptQuarantine& quarantine, Duration begin, int count, const std::vector<std::uint64_t>& parts)
{
    for (int index = 0; index < count; ++index) {
        const auto number = static_cast<int>(begin / 1ms) + index;
        quarantine.onServerLost(at(begin + index * 500ms), server(number), StartTime(1), requestWith(parts, static_cast<std::uint64_t>(number)));
    }
}

bool isRefused(PromptQuarantine& quarantine, Duration time, const std::vector<std::uint64_t>& parts)
{
    quarantine.advance(at(time));
    return quarantine.findQuarantined(at(time), requestWith(parts, 9999)).has_value();
}

} // namespace

TEST(PromptQuarantine, PartOnWhichServersCrashIsRefusedWhateverElseThePromptHolds)
{
    PromptQuarantine quarantine;
    crash(quarantine, 0s, 2, { common, deadly });
    EXPECT_FALSE(isRefused(quarantine, 2s, { common, deadly }));
    crash(quarantine, 1s, 1, { deadly, 77 });
    EXPECT_TRUE(isRefused(quarantine, 2s, { common, deadly }));
    EXPECT_TRUE(isRefused(quarantine, 2s, { deadly }));
    EXPECT_FALSE(isRefused(quarantine, 2s, { common, 77 }));
}

TEST(PromptQuarantine, PartsOfAnsweredRequestsAreNotRefused)
{
    PromptQuarantine quarantine;
    crash(quarantine, 0s, 2, { common, deadly });
    quarantine.onAnswered(at(900ms), requestWith({ common }, 50));
    crash(quarantine, 1s, 3, { common, deadly });
    quarantine.onAnswered(at(2100ms), requestWith({ common }, 51));
    EXPECT_TRUE(isRefused(quarantine, 3s, { deadly }));
    EXPECT_FALSE(isRefused(quarantine, 3s, { common }));
}

// A data centre that loses power takes the servers of all requests with it.
TEST(PromptQuarantine, ServersThatAreLostTogetherConvictNothing)
{
    PromptQuarantine quarantine;
    for (int index = 0; index < 20; ++index)
        quarantine.onServerLost(at(index * 5ms), server(index), StartTime(1), requestWith({ common }, static_cast<std::uint64_t>(index)));
    EXPECT_FALSE(isRefused(quarantine, 5s, { common }));
}

TEST(PromptQuarantine, OneRequestOrOneServerConvictsNothing)
{
    PromptQuarantine quarantine;
    for (int index = 0; index < 5; ++index) {
        quarantine.onServerLost(at(index * 500ms), server(index), StartTime(1), requestWith({ common }, 1));
        quarantine.onServerLost(at(index * 500ms), server(7), StartTime(1), requestWith({ deadly }, static_cast<std::uint64_t>(index)));
    }
    EXPECT_FALSE(isRefused(quarantine, 5s, { common }));
    EXPECT_FALSE(isRefused(quarantine, 5s, { deadly }));
}

TEST(PromptQuarantine, LastPartOfAPromptIsNotSuspected)
{
    PromptQuarantine quarantine;
    crash(quarantine, 0s, 5, {});
    EXPECT_TRUE(quarantine.advance(at(5s)).empty());
    EXPECT_TRUE(quarantine.ownEvidence(at(5s)).crashes.empty());
}

TEST(PromptQuarantine, InstancesThatSeeOneCrashEachAgree)
{
    PromptQuarantine first;
    PromptQuarantine second;
    PromptQuarantine third;
    crash(first, 0s, 1, { common, deadly });
    crash(second, 500ms, 1, { common, deadly });
    crash(third, 1s, 1, { common, deadly });
    second.onAnswered(at(1200ms), requestWith({ common }, 50));
    first.onEvidence(at(1500ms), second.ownEvidence(at(1500ms)));
    first.onEvidence(at(1500ms), third.ownEvidence(at(1500ms)));
    // Its own evidence comes back with the sums of others.
    first.onEvidence(at(1600ms), first.ownEvidence(at(1400ms)));
    EXPECT_TRUE(isRefused(first, 1600ms, { deadly }));
    EXPECT_FALSE(isRefused(first, 1600ms, { common }));
}

TEST(PromptQuarantine, AnswersSeenElsewhereClearAPart)
{
    PromptQuarantine quarantine;
    crash(quarantine, 0s, 2, { common });
    quarantine.onEvidence(at(1s), { {}, { { { ServiceId("model"), common }, 200ms } } });
    crash(quarantine, 1s, 1, { common });
    EXPECT_FALSE(isRefused(quarantine, 3s, { common }));
}

TEST(PromptQuarantine, RequestThatLostTwoServersIsNotSentToAThird)
{
    PromptQuarantine quarantine;
    const auto request = requestWith({ common }, 1);
    EXPECT_TRUE(quarantine.mayRetry(request));
    quarantine.onServerLost(at(0s), server(1), StartTime(1), request);
    EXPECT_TRUE(quarantine.mayRetry(request));
    quarantine.onServerLost(at(100ms), server(2), StartTime(1), request);
    EXPECT_FALSE(quarantine.mayRetry(request));
    EXPECT_TRUE(quarantine.mayRetry(requestWith({ common }, 2)));
}

TEST(PromptQuarantine, QuarantineFromTheStoreHoldsUntilItIsDeleted)
{
    PromptQuarantine quarantine;
    const ServicePart part { ServiceId("model"), deadly };
    quarantine.onStored(at(0s), part);
    EXPECT_TRUE(isRefused(quarantine, 1s, { deadly }));
    quarantine.onDeleted(part);
    EXPECT_FALSE(isRefused(quarantine, 2s, { deadly }));
}

TEST(PromptQuarantine, IsWrittenUntilStoredAndAgainWhileInUse)
{
    PromptQuarantine quarantine;
    crash(quarantine, 0s, 3, { deadly });
    const auto found = quarantine.advance(at(2s));
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(quarantine.takeDueWrites(at(2s)), found);
    EXPECT_TRUE(quarantine.takeDueWrites(at(3s)).empty());
    EXPECT_EQ(quarantine.takeDueWrites(at(4s)), found);
    quarantine.onStored(at(4s), found.front());
    EXPECT_TRUE(quarantine.takeDueWrites(at(4min)).empty());
    EXPECT_TRUE(quarantine.takeDueWrites(at(6min)).empty());
    EXPECT_TRUE(isRefused(quarantine, 6min, { deadly }));
    EXPECT_EQ(quarantine.takeDueWrites(at(6min)), found);
    EXPECT_FALSE(isRefused(quarantine, 17min, { deadly }));
}

TEST(PromptQuarantine, PartsAreFormattedAndParsed)
{
    const ServicePart part { ServiceId("team/model"), 0xdeadbeef12345678 };
    EXPECT_EQ(parsePart(formatPart(part)), part);
    for (const auto* text : { "", "model", "model/", "/12", "model/12x", "model/12345678123456789", "model/-1" })
        EXPECT_FALSE(parsePart(text)) << text;
}

} // namespace Ibisturn::Testing
