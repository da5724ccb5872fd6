#include <LibDecision/Registry/BackendRegistry.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

RegisteredServer server(const std::string& id, std::int64_t sequence = 1)
{
    RegisteredServer server;
    server.id = BackendServerId(id);
    server.started = StartTime(1000);
    server.service = ServiceId("model");
    server.endpoint = { "10.0.0.1", 8080 };
    server.region = RegionId("khomas");
    server.dataCentre = DataCentreId("khomas-a");
    server.slots = 8;
    server.sequence = sequence;
    return server;
}

std::size_t usableAfter(BackendRegistry& registry, Duration time)
{
    registry.advance(at(time));
    return registry.usable().size();
}

} // namespace

TEST(BackendRegistry, DrainingServersAreNotUsed)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    auto leaving = server("a", 2);
    leaving.state = RegistrationState::Draining;
    registry.onEntry(at(1s), leaving);
    EXPECT_EQ(usableAfter(registry, 1s), 0U);
}

TEST(BackendRegistry, ReportsOnlyWhatRoutingDependsOn)
{
    BackendRegistry registry;
    EXPECT_TRUE(registry.onEntry(at(0s), server("a")));
    EXPECT_FALSE(registry.onEntry(at(1s), server("a", 2)));
    auto leaving = server("a", 3);
    leaving.state = RegistrationState::Draining;
    EXPECT_TRUE(registry.onEntry(at(2s), leaving));
    registry.onRemoved(at(3s), BackendServerId("a"));
    EXPECT_TRUE(registry.advance(at(3s)).empty());
    EXPECT_EQ(registry.advance(at(3s) + RemovalLimits().removalGrace), std::vector { BackendServerId("a") });
}

TEST(BackendRegistry, EntryRewrittenAtOnceStaysUsable)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onRemoved(at(1s), BackendServerId("a"));
    EXPECT_EQ(usableAfter(registry, 2s), 1U);
    registry.onEntry(at(2100ms), server("a", 2));
    EXPECT_EQ(usableAfter(registry, 9s), 1U);
}

TEST(BackendRegistry, RemovedServerIsExcludedBeforeItStopsServing)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onRemoved(at(1s), BackendServerId("a"));
    EXPECT_EQ(usableAfter(registry, 1s + RemovalLimits().removalGrace), 0U);
}

TEST(BackendRegistry, EntriesThatExpireWhileTheStoreIsUnavailableStay)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onEntry(at(0s), server("b"));
    registry.onStoreUnavailable(at(1s));
    EXPECT_EQ(usableAfter(registry, 60s), 2U);
    // The listing after the outage contains neither; one of them writes its entry again.
    registry.onRemoved(at(60s), BackendServerId("a"));
    registry.onRemoved(at(60s), BackendServerId("b"));
    registry.onStoreAvailable(at(60s));
    EXPECT_EQ(usableAfter(registry, 61s), 2U);
    registry.onEntry(at(61500ms), server("b", 7));
    EXPECT_EQ(usableAfter(registry, 62s), 1U);
    EXPECT_EQ(registry.usable().front().server.id, BackendServerId("b"));
}

TEST(BackendRegistry, OneLostStoreReplyDoesNotExtendTheGracePeriod)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onStoreUnavailable(at(1s));
    registry.onRemoved(at(9s), BackendServerId("a"));
    registry.onStoreAvailable(at(9s));
    registry.onStoreUnavailable(at(10500ms));
    registry.onStoreAvailable(at(10700ms));
    EXPECT_EQ(usableAfter(registry, 10900ms), 1U);
    EXPECT_EQ(usableAfter(registry, 11s), 0U);
}

TEST(BackendRegistry, RemovalTakesEffectWithoutTheStoreOnceAPeerConfirmsIt)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onStoreUnavailable(at(1s));
    registry.onRemoved(at(2s), BackendServerId("a"));
    registry.onPeerReport(at(3s));
    EXPECT_EQ(usableAfter(registry, 60s), 1U);
    registry.onPeerReport(at(61s));
    EXPECT_EQ(usableAfter(registry, 61s), 0U);
}

TEST(BackendRegistry, ServersAreColdAfterAnEvacuationUntilTheirNextEntry)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a", 4));
    registry.setEvacuated(at(1s), { DataCentreId("khomas-a") });
    EXPECT_EQ(usableAfter(registry, 1s), 0U);
    registry.setEvacuated(at(5s), {});
    ASSERT_EQ(usableAfter(registry, 5s), 1U);
    EXPECT_GT(registry.usable().front().coldUntil, at(5s));
    // An entry from before the end of the evacuation does not change that.
    registry.onEntry(at(5100ms), server("a", 4));
    EXPECT_GT(registry.usable().front().coldUntil, at(5100ms));
    registry.onEntry(at(5200ms), server("a", 5));
    EXPECT_LE(registry.usable().front().coldUntil, at(5200ms));
}

TEST(BackendRegistry, ColdPeriodIsTakenFromTheEntry)
{
    BackendRegistry registry;
    auto cold = server("a");
    cold.coldLeft = 3s;
    registry.onEntry(at(1s), cold);
    EXPECT_EQ(registry.usable().front().coldUntil, at(4s));
}

// A resumption would be sent to the version that the server ran before.
TEST(BackendRegistry, ReportsAChangeOfTheSoftwareVersionAlone)
{
    BackendRegistry registry;
    auto first = server("a");
    first.version = SoftwareVersion("v1");
    registry.onEntry(at(0s), first);
    auto second = server("a", 2);
    second.version = SoftwareVersion("v2");
    EXPECT_TRUE(registry.onEntry(at(1s), second));
    EXPECT_EQ(registry.usable().front().server.version, SoftwareVersion("v2"));
}

// A stream may still run on a server that takes no new requests.
TEST(BackendRegistry, TellsTheVersionsOfServersThatMayStillRunRequests)
{
    BackendRegistry registry;
    const std::vector<std::string> ids { "a", "b", "c" };
    for (const auto& id : ids) {
        auto entry = server(id);
        entry.version = SoftwareVersion("v" + id);
        entry.state = id == "a" ? RegistrationState::Draining : RegistrationState::Ready;
        entry.dataCentre = DataCentreId(id == "b" ? "khomas-b" : "khomas-a");
        registry.onEntry(at(0s), entry);
    }
    registry.setEvacuated(at(0s), { DataCentreId("khomas-b") });
    registry.onRemoved(at(1s), BackendServerId("c"));
    registry.advance(at(1s));
    const auto known = registry.registeredVersions();
    ASSERT_TRUE(known.contains(ServiceId("model")));
    EXPECT_EQ(known.at(ServiceId("model")), (std::set { SoftwareVersion("va"), SoftwareVersion("vb"), SoftwareVersion("vc") }));
    const auto before = registry.version();
    registry.advance(at(60s));
    EXPECT_GT(registry.version(), before);
    EXPECT_EQ(registry.registeredVersions().at(ServiceId("model")).size(), 2U);
}

TEST(BackendRegistry, NewIncarnationOfAnIdDiscardsEarlierState)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a", 9));
    registry.setEvacuated(at(1s), { DataCentreId("khomas-a") });
    registry.setEvacuated(at(2s), {});
    auto restarted = server("a", 1);
    restarted.started = StartTime(2000);
    const auto before = registry.version();
    registry.onEntry(at(3s), restarted);
    EXPECT_GT(registry.version(), before);
    EXPECT_EQ(registry.usable().front().server.started, StartTime(2000));
    EXPECT_LE(registry.usable().front().coldUntil, at(3s));
}

TEST(BackendRegistry, HeartbeatAloneDoesNotChangeTheVersion)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a", 1));
    const auto before = registry.version();
    registry.onEntry(at(1s), server("a", 2));
    EXPECT_EQ(registry.version(), before);
}

// A store that has come back from an older copy may have the entry that a leaving server wrote before.
TEST(BackendRegistry, AnEntryOfAnOlderCopyDoesNotReviveALeavingServer)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a", 1));
    auto leaving = server("a", 3);
    leaving.state = RegistrationState::Draining;
    registry.onEntry(at(1s), leaving);
    EXPECT_FALSE(registry.onEntry(at(2s), server("a", 2), EntryOrigin::OlderCopy));
    EXPECT_EQ(usableAfter(registry, 2s), 0U);
    EXPECT_EQ(usableAfter(registry, 60s), 0U);
    // A later process of the server.
    auto restarted = server("a", 1);
    restarted.started = StartTime(2000);
    registry.onEntry(at(61s), restarted, EntryOrigin::OlderCopy);
    EXPECT_EQ(usableAfter(registry, 61s), 1U);
}

TEST(BackendRegistry, AnEntryOfAnOlderCopyRevivesARemovedServerOnlyIfItLasts)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("gone", 5));
    registry.onEntry(at(0s), server("lapsed", 5));
    registry.onRemoved(at(1s), BackendServerId("gone"));
    registry.onRemoved(at(1s), BackendServerId("lapsed"));
    EXPECT_EQ(usableAfter(registry, 8s), 0U);
    registry.onEntry(at(9s), server("gone", 5), EntryOrigin::OlderCopy);
    registry.onEntry(at(9s), server("lapsed", 4), EntryOrigin::OlderCopy);
    EXPECT_EQ(usableAfter(registry, 10s), 0U);
    // Nobody renews the entry of the server that is gone.
    registry.onRemoved(at(13s), BackendServerId("gone"));
    EXPECT_EQ(usableAfter(registry, 30s), 1U);
    EXPECT_EQ(registry.usable().front().server.id, BackendServerId("lapsed"));
}

TEST(BackendRegistry, AServerThatWritesItsEntryAgainIsUsedAtOnce)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a", 5));
    registry.onRemoved(at(1s), BackendServerId("a"));
    EXPECT_EQ(usableAfter(registry, 8s), 0U);
    registry.onEntry(at(9s), server("a", 5), EntryOrigin::OlderCopy);
    registry.onEntry(at(9500ms), server("a", 6));
    EXPECT_EQ(usableAfter(registry, 9500ms), 1U);
}

TEST(BackendRegistry, AServerThatAnOlderCopyLacksIsUsedUntilItHasHadTimeToWriteItsEntryAgain)
{
    BackendRegistry registry;
    registry.onEntry(at(0s), server("a"));
    registry.onEntry(at(0s), server("b"));
    registry.onRemoved(at(5s), BackendServerId("a"), EntryOrigin::OlderCopy);
    registry.onRemoved(at(5s), BackendServerId("b"), EntryOrigin::OlderCopy);
    EXPECT_EQ(usableAfter(registry, 5s + RemovalLimits().recoveryGrace - 1ms), 2U);
    registry.onEntry(at(6900ms), server("b", 2));
    EXPECT_EQ(usableAfter(registry, 5s + RemovalLimits().recoveryGrace), 1U);
}

} // namespace Ibisturn::Testing
