#include "Benchmark.h"

#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Membership/MembershipTracker.h>
#include <LibPeer/ControlMessages.h>

#include <chrono>
#include <random>

#include <fmt/format.h>

namespace Ibisturn::Benchmarks {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t workspaces = 1400;
constexpr int rounds = 200;

MembershipView makeView(std::size_t instances, std::size_t dataCentres)
{
    MembershipView view;
    for (std::size_t index = 0; index < instances; ++index)
        view.instances.push_back({ InstanceId(fmt::format("i{:04}", index)), RegionId("r"), DataCentreId(fmt::format("d{}", index % dataCentres)), {}, {}, MemberState::Live });
    return view;
}

Snapshot makeSnapshot()
{
    std::vector<Record> records { parseRecord("residency", "rule", R"({"schema":1,"regions":["r"]})", Revision(1)) };
    for (std::size_t index = 0; index < workspaces; ++index)
        records.push_back(parseRecord("workspaces", fmt::format("w{}", index), R"({"schema":1,"residency":"rule","rate":1,"burst":1})", Revision(1)));
    return { Revision(1), records };
}

// The share of workspaces whose first entry changes when one instance leaves. The baseline assigns entries by the hash
// modulo the number of instances.
void reportMoved(std::size_t instances, std::uint64_t seed)
{
    const auto snapshot = makeSnapshot();
    MembershipTracker tracker;
    tracker.onLiveList(makeView(instances, 3));
    const auto before = tracker.view({});
    const auto leavingInstance = std::mt19937_64(seed)() % instances;
    tracker.onAnnouncement(before.instances[leavingInstance].id, Incarnation(1), MemberState::Leaving);
    const auto after = tracker.view({});
    std::size_t moved = 0;
    std::size_t movedByRemainder = 0;
    for (std::size_t index = 0; index < workspaces; ++index) {
        const WorkspaceId workspace(fmt::format("w{}", index));
        moved += entriesFor(snapshot, before, workspace, RegionId("r")).front().id != entriesFor(snapshot, after, workspace, RegionId("r")).front().id ? 1 : 0;
        const auto hash = rendezvousScore(workspace.value(), "");
        const auto remainder = hash % (instances - 1);
        movedByRemainder += hash % instances != remainder + (remainder >= leavingInstance ? 1 : 0) ? 1 : 0;
    }
    const auto share = [](std::size_t count) { return static_cast<double>(count) / static_cast<double>(workspaces); };
    print({ fmt::format("membership/{}", instances), "moved_share", share(moved), share(movedByRemainder), seed });
}

// The time to build the membership view for the workers, which is done every second, and to look up the entries for one
// caller.
void reportTime(std::size_t instances, std::uint64_t seed)
{
    const auto snapshot = makeSnapshot();
    MembershipTracker tracker;
    tracker.onLiveList(makeView(instances, 51));
    for (const auto& member : makeView(instances, 51).instances)
        tracker.onAnnouncement(member.id, Incarnation(1), MemberState::Live);
    const auto view = tracker.view({});
    const auto start = std::chrono::steady_clock::now();
    std::size_t memberTotal = 0;
    for (int round = 0; round < rounds; ++round)
        memberTotal += tracker.view({}).instances.size();
    const auto viewEnd = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        memberTotal += entriesFor(snapshot, view, WorkspaceId("w1"), RegionId("r")).size();
    const auto lookupEnd = std::chrono::steady_clock::now();
    const auto microseconds = [](auto duration) { return std::chrono::duration<double, std::micro>(duration).count() / rounds; };
    const auto name = fmt::format("membership/{}", instances);
    print({ name, "view_us", microseconds(viewEnd - start), 0, seed });
    print({ name, "entries_us", microseconds(lookupEnd - viewEnd), 0, seed });
    print({ name, "members_seen", static_cast<double>(memberTotal) / (2 * rounds), static_cast<double>(instances), seed });
    // The instance that leaves notifies all others directly. The alternative is a heartbeat from every instance to every other
    // one each half second.
    const auto heartbeat = static_cast<double>(encodeFrame({ Incarnation(0x9e3779b97f4a7c15), RequestId(0), toPeerMessage(SendHeartbeat {}) }).size());
    print({ name, "leave_bytes", heartbeat * static_cast<double>(instances - 1), 0, seed });
}

void runMembership(std::uint64_t seed)
{
    for (const auto instances : { 9, 90, 370 }) {
        reportMoved(instances, seed);
        reportTime(instances, seed);
    }
}

const BenchmarkRegistration registration("membership", runMembership);

} // namespace

} // namespace Ibisturn::Benchmarks
