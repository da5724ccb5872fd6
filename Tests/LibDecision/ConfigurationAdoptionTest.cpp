#include "ConfigurationWorld.h"

#include <cstdlib>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

constexpr Duration convergenceBound = 3s;
constexpr std::size_t schedules = 10000;

std::uint64_t seed()
{
    const auto* text = std::getenv("IBISTURN_SEED"); // NOLINT: one thread
    return text ? std::strtoull(text, nullptr, 10) : 20261204;
}

struct Fault {
    std::string name;
    std::function<void(ConfigurationWorld&, std::size_t)> begin;
    std::function<void(ConfigurationWorld&, std::size_t)> end;
};

void cutLinks(ConfigurationWorld& world, const std::function<bool(std::size_t, std::size_t)>& isCut)
{
    for (std::size_t from = 0; from < world.nodes().size(); ++from) {
        for (std::size_t to = 0; to < world.nodes().size(); ++to) {
            if (from != to && isCut(from, to))
                world.cuts.insert({ from, to });
        }
    }
}

// The injected faults, each with its recovery. The number selects the node or object that is affected.
const std::vector<Fault>& faults()
{
    static const auto restoreLinks = [](ConfigurationWorld& world, std::size_t) { world.cuts.clear(); };
    static const std::vector<Fault> all {
        { "store down", [](auto& world, auto) { world.setStoreDown(true); }, [](auto& world, auto) { world.setStoreDown(false); } },
        { "store slow", [](auto& world, auto) { world.addedStoreLatency = 1200ms; }, [](auto& world, auto) { world.addedStoreLatency = {}; } },
        { "replies lost", [](auto& world, auto) { world.dropsReplies = true; }, [](auto& world, auto) { world.dropsReplies = false; } },
        { "watch lost or compacted", [](auto& world, auto which) { world.endWatches([which](auto node) { return node % 2 == which % 2; }); }, [](auto&, auto) {} },
        { "watch gappy", [](auto& world, auto) { world.skipsWatchEvents = true; }, [](auto& world, auto) { world.skipsWatchEvents = false; } },
        { "killed", [](auto& world, auto which) { world.restart(which); }, [](auto&, auto) {} },
        { "frozen", [](auto& world, auto which) { world.freeze(which); }, [](auto& world, auto which) { world.thaw(which); } },
        { "store cut", [](auto& world, auto which) { world.nodes()[which].canReachStore = false; }, [](auto& world, auto which) { world.nodes()[which].canReachStore = true; } },
        { "data centre cut from store", [](auto& world, auto which) { for (auto& node : world.nodes()) node.canReachStore = node.canReachStore && node.dataCentre != world.nodes()[which].dataCentre; },
            [](auto& world, auto) { for (auto& node : world.nodes()) node.canReachStore = true; } },
        { "data centre cut off", [](auto& world, auto which) {
             const auto lost = world.nodes()[which].dataCentre;
             cutLinks(world, [&](auto from, auto to) { return (world.nodes()[from].dataCentre == lost) != (world.nodes()[to].dataCentre == lost); });
             for (auto& node : world.nodes())
                 node.canReachStore = node.canReachStore && node.dataCentre != lost; },
            [](auto& world, auto which) { restoreLinks(world, which); for (auto& node : world.nodes()) node.canReachStore = true; } },
        { "one way", [](auto& world, auto which) { cutLinks(world, [which](auto from, auto) { return from == which; }); }, restoreLinks },
        { "links cut", [](auto& world, auto which) { cutLinks(world, [which](auto from, auto to) { return from == which || to == which; }); }, restoreLinks },
    };
    return all;
}

void recoverAll(ConfigurationWorld& world)
{
    world.setStoreDown(false);
    world.addedStoreLatency = {};
    world.dropsReplies = false;
    world.skipsWatchEvents = false;
    world.cuts.clear();
    for (std::size_t node = 0; node < world.nodes().size(); ++node) {
        world.nodes()[node].canReachStore = true;
        if (world.nodes()[node].isFrozen)
            world.thaw(node);
    }
}

void writeRandomRecord(ConfigurationWorld& world)
{
    const auto name = fmt::format("k{}", world.pick(4));
    const auto node = world.pick(world.nodes().size());
    if (world.pick(4) == 0 && !world.nodes()[node].isFrozen && world.serves(node, name)) {
        const auto& entries = world.nodes()[node].adopter->log().records().entries();
        world.withdraw(node, name, entries.find("/i/records/keys/" + name)->second.revision);
        return;
    }
    if (world.pick(3) == 0)
        world.write(name, std::nullopt);
    else
        world.write(name, fmt::format("v{}", world.latest()));
}

std::string describe(ConfigurationWorld& world)
{
    std::string text = fmt::format("store at {};", world.latest());
    for (const auto& node : world.nodes())
        text += fmt::format(" {}={}{}", node.id, node.adopter->log().revision(), node.adopter->readiness() == Readiness::Ready ? "" : "(not ready)");
    for (std::size_t index = 0; index < std::min<std::size_t>(3, world.violations().size()); ++index)
        text += "\n" + world.violations()[index];
    return text;
}

// All nodes have the last write within the bound after recovery, and a new write within the bound after its acceptance.
testing::AssertionResult convergesAfterRecovery(ConfigurationWorld& world)
{
    recoverAll(world);
    world.run(convergenceBound);
    if (!world.areAllAt(world.latest()))
        return testing::AssertionFailure() << "not recovered within the bound: " << describe(world);
    world.write("last", "value");
    world.run(convergenceBound);
    if (!world.areAllAt(world.latest()))
        return testing::AssertionFailure() << "not in force within the bound: " << describe(world);
    if (!world.violations().empty())
        return testing::AssertionFailure() << describe(world);
    return testing::AssertionSuccess();
}

void runSchedule(ConfigurationWorld& world)
{
    world.run(std::chrono::milliseconds(world.pick(3000)));
    std::vector<std::pair<const Fault*, std::size_t>> activeFaults;
    for (std::size_t step = 0, steps = 4 + world.pick(8); step < steps; ++step) {
        const auto choice = world.pick(3);
        if (choice == 0) {
            writeRandomRecord(world);
        } else if (choice == 1 || activeFaults.empty()) {
            activeFaults.emplace_back(&faults()[world.pick(faults().size())], world.pick(world.nodes().size()));
            activeFaults.back().first->begin(world, activeFaults.back().second);
        } else {
            activeFaults.back().first->end(world, activeFaults.back().second);
            activeFaults.pop_back();
        }
        world.run(std::chrono::milliseconds(world.pick(1500)));
    }
}

} // namespace

TEST(ConfigurationAdoption, RandomSchedulesConvergeAndNeverRevert)
{
    const auto first = seed();
    fmt::print("seed {}\n", first);
    for (std::size_t index = 0; index < schedules; ++index) {
        WorldShape shape;
        shape.dataCentres = 2 + index % 2;
        shape.instancesEach = 1 + index % 3;
        shape.tickPeriod = 200ms;
        shape.seed = first + index;
        ConfigurationWorld world(shape);
        runSchedule(world);
        ASSERT_TRUE(convergesAfterRecovery(world)) << "seed " << shape.seed;
    }
}

// Each fault, alone and combined with each other one, starts and ends at every step between a write and its adoption.
TEST(ConfigurationAdoption, EachFaultAtEachStepAloneAndInPairs)
{
    const std::vector<Duration> steps { 0ms, 30ms, 80ms, 300ms, 1100ms, 2600ms };
    for (const auto& one : faults()) {
        for (const auto& other : faults()) {
            for (const auto step : steps) {
                WorldShape shape;
                shape.seed = seed();
                ConfigurationWorld world(shape);
                world.run(convergenceBound);
                const auto which = world.pick(world.nodes().size());
                one.begin(world, which);
                world.write("k", "before");
                world.run(step);
                other.begin(world, which / 2);
                world.write("k", std::nullopt);
                world.run(step);
                one.end(world, which);
                world.run(step);
                other.end(world, which / 2);
                ASSERT_TRUE(convergesAfterRecovery(world)) << one.name << " and " << other.name << " at " << step / 1ms << " ms";
            }
        }
    }
}

TEST(ConfigurationAdoption, ObserverDetectsALostDeletion)
{
    ConfigurationWorld world({});
    world.run(convergenceBound);
    world.write("k", "value");
    world.run(convergenceBound);
    world.corrupt = [](ConfigurationUpdate& update) { std::erase_if(update.changes, [](const auto& change) { return !change.value; }); };
    world.write("k", std::nullopt);
    world.run(convergenceBound);
    EXPECT_FALSE(world.violations().empty());
}

TEST(ConfigurationAdoption, DataCentreCutFromStoreReceivesWithdrawalFromPeers)
{
    ConfigurationWorld world({});
    world.run(convergenceBound);
    for (auto& node : world.nodes())
        node.canReachStore = node.dataCentre != 2;
    world.write("k", "value");
    world.run(convergenceBound);
    EXPECT_TRUE(world.areAllAt(world.latest())) << describe(world);
}

TEST(ConfigurationAdoption, InstanceStartsFromItsDataCentreWhileStoreIsDown)
{
    ConfigurationWorld world({});
    world.run(convergenceBound);
    world.setStoreDown(true);
    world.run(1h);
    world.restart(4);
    world.run(4s);
    EXPECT_TRUE(world.areAllAt(world.latest())) << describe(world);
}

TEST(ConfigurationAdoption, LoneInstanceIsNotReadyWhileStoreIsDown)
{
    WorldShape shape;
    shape.dataCentres = 1;
    shape.instancesEach = 1;
    ConfigurationWorld world(shape);
    world.setStoreDown(true);
    world.run(60s);
    EXPECT_EQ(world.nodes()[0].adopter->readiness(), Readiness::Starting);
}

TEST(ConfigurationAdoption, InstancesThatStartTogetherWithoutStoreDoNotMakeEachOtherReady)
{
    ConfigurationWorld world({});
    world.setStoreDown(true);
    world.run(60s);
    for (const auto& node : world.nodes())
        EXPECT_EQ(node.adopter->readiness(), Readiness::Starting);
}

// With the store down everywhere, and with a data centre partitioned as well.
TEST(ConfigurationAdoption, KeyIsWithdrawnWithoutTheStoreWhereverAPeerIsReached)
{
    for (const bool isCutOff : { false, true }) {
        WorldShape shape;
        shape.dataCentres = 4;
        ConfigurationWorld world(shape);
        world.run(convergenceBound);
        const auto revision = world.write("k", "value");
        world.run(convergenceBound);
        world.setStoreDown(true);
        if (isCutOff)
            cutLinks(world, [&](auto from, auto to) { return (world.nodes()[from].dataCentre == 2) != (world.nodes()[to].dataCentre == 2); });
        world.run(5s);
        world.withdraw(7, "k", revision);
        world.run(1s);
        for (std::size_t node = 0; node < world.nodes().size(); ++node)
            EXPECT_EQ(world.serves(node, "k"), isCutOff && world.nodes()[node].dataCentre != 2) << node;
        world.restart(7);
        world.run(4s);
        EXPECT_FALSE(world.serves(7, "k"));
        ASSERT_TRUE(convergesAfterRecovery(world));
        EXPECT_FALSE(world.commits().rbegin()->second.records.contains("/i/records/keys/k"));
        // The old withdrawal does not apply to a key that is written again.
        world.write("k", "again");
        world.run(convergenceBound);
        EXPECT_TRUE(world.serves(7, "k"));
    }
}

TEST(ConfigurationAdoption, OnlyTwoInstancesOfADataCentreWatch)
{
    WorldShape shape;
    shape.instancesEach = 7;
    ConfigurationWorld world(shape);
    world.run(10s);
    EXPECT_EQ(world.watchCount(), 6U);
}

} // namespace Ibisturn::Testing
