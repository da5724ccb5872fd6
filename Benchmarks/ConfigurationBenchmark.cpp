#include "Benchmark.h"

#include <LibPeer/ControlMessages.h>
#include <Tests/LibDecision/ConfigurationWorld.h>

namespace Ibisturn::Benchmarks {

namespace {

using namespace std::chrono_literals;
using Testing::ConfigurationWorld;
using Testing::WorldShape;

constexpr int writes = 200;
constexpr Duration writePeriod = 400ms;
constexpr Duration idleLength = 60s;
constexpr std::size_t workspacesAtFullSize = 1400;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::uint64_t frameBytes(const PeerAction& action)
{
    return encodeFrame({ Incarnation(0x9e3779b97f4a7c15), RequestId(0), toPeerMessage(action) }).size();
}

/// Measures the time from each write until it is in force at each instance.
class InForceTimes {
public:
    explicit InForceTimes(ConfigurationWorld& world)
        : world_(world)
    {
        world_.onAdopted = [this](std::size_t, Revision revision) {
            for (auto& [written, times] : pending_) {
                if (written <= revision)
                    times.push_back(world_.now());
            }
        };
    }

    void write()
    {
        const auto at = world_.now();
        const auto revision = world_.write(fmt::format("k{}", world_.pick(100)), fmt::format("v{}", at.time_since_epoch().count()));
        pending_[revision];
        accepted_[revision] = at;
    }

    // For each write, the time in milliseconds until the last instance had it in force; sorted.
    std::vector<double> timesUntilLastInstance() const
    {
        std::vector<double> worst;
        for (const auto& [revision, times] : pending_) {
            if (!times.empty())
                worst.push_back(milliseconds(times.at(std::min(times.size(), world_.nodes().size()) - 1) - accepted_.at(revision)));
        }
        std::sort(worst.begin(), worst.end());
        return worst;
    }

private:
    ConfigurationWorld& world_;
    std::map<Revision, std::vector<TimePoint>> pending_;
    std::map<Revision, TimePoint> accepted_;
};

struct FleetSize {
    std::size_t dataCentres;
    std::size_t instancesEach;
};

void report(const std::string& name, const std::string& metric, double value, double baseline, std::uint64_t seed)
{
    print({ name, metric, value, baseline, seed });
}

std::uint64_t maxNodeBytes(ConfigurationWorld& world)
{
    std::uint64_t maximum = 0;
    for (const auto& node : world.nodes())
        maximum = std::max(maximum, node.bytesSent + node.bytesReceived);
    return maximum;
}

void clearBytes(ConfigurationWorld& world)
{
    for (auto& node : world.nodes()) {
        node.bytesSent = 0;
        node.bytesReceived = 0;
    }
}

void runFleetSize(const FleetSize& size, std::uint64_t seed)
{
    WorldShape shape;
    shape.dataCentres = size.dataCentres;
    shape.instancesEach = size.instancesEach;
    shape.seed = seed;
    ConfigurationWorld world(shape);
    world.measure = frameBytes;
    world.run(10s);
    const auto instances = world.nodes().size();
    const auto name = fmt::format("configuration/{}x{}", size.dataCentres, size.instancesEach);

    clearBytes(world);
    const auto callsBefore = world.storeCalls();
    world.run(idleLength);
    const double seconds = std::chrono::duration<double>(idleLength).count();
    const double calls = static_cast<double>(world.storeCalls() - callsBefore) / seconds;
    // The baseline: every instance polls the store's head revision and has a watch, as two per data centre do here.
    const auto watching = static_cast<double>(world.watchCount());
    report(name, "store_calls_per_s", calls, calls / watching * static_cast<double>(instances), seed);
    report(name, "store_watches", watching, static_cast<double>(instances), seed);
    std::uint64_t total = 0;
    for (auto& node : world.nodes())
        total += node.bytesSent + node.bytesReceived;
    const double busiest = static_cast<double>(maxNodeBytes(world)) / seconds;
    // The baseline: each instance sends a heartbeat to every other one at the same period and receives a reply.
    const double heartbeat = static_cast<double>(frameBytes(SendHeartbeat { world.nodes().front().id, {} }));
    const double allToAll = static_cast<double>(instances - 1) * 2 * 4 * heartbeat;
    report(name, "bytes_per_s_busiest", busiest, allToAll, seed);
    report(name, "bytes_per_s_mean", static_cast<double>(total) / seconds / static_cast<double>(instances), allToAll, seed);

    InForceTimes times(world);
    clearBytes(world);
    const auto writeStart = world.now();
    for (int index = 0; index < writes; ++index) {
        times.write();
        world.run(writePeriod);
    }
    world.run(3s);
    const auto worst = times.timesUntilLastInstance();
    // The baseline: every instance is notified by the store directly.
    const double direct = milliseconds(shape.store);
    report(name, "in_force_p50_ms", worst.at(worst.size() / 2), direct, seed);
    report(name, "in_force_p99_ms", worst.at(worst.size() * 99 / 100), direct, seed);
    report(name, "in_force_worst_ms", worst.back(), direct, seed);
    const double writeSeconds = std::chrono::duration<double>(world.now() - writeStart).count();
    report(name, "bytes_per_s_busiest_under_writes", static_cast<double>(maxNodeBytes(world)) / writeSeconds, allToAll, seed);
}

// The longest time until a write is in force everywhere when one data centre has just been partitioned from the store.
void runStorePartition(std::uint64_t seed)
{
    WorldShape shape;
    shape.dataCentres = 51;
    shape.instancesEach = 7;
    shape.seed = seed;
    ConfigurationWorld world(shape);
    world.run(10s);
    InForceTimes times(world);
    for (int index = 0; index < 10; ++index) {
        const auto partitioned = world.pick(shape.dataCentres);
        for (auto& node : world.nodes())
            node.canReachStore = node.dataCentre != partitioned;
        times.write();
        world.run(5s);
        for (auto& node : world.nodes())
            node.canReachStore = true;
        world.run(5s);
    }
    report("configuration/cut-from-store", "in_force_worst_ms", times.timesUntilLastInstance().back(), 0, seed);
}

void runMemory(std::size_t workspaces, std::uint64_t seed)
{
    RecordLog log("/i/", 1000);
    ConfigurationUpdate update { UpdateKind::Full, noRevision, Revision(1), {} };
    update.changes.push_back({ "/i/records/residency/home", R"({"schema":1,"regions":["khomas","omaheke"]})", Revision(1) });
    for (std::size_t index = 0; index < workspaces; ++index) {
        update.changes.push_back({ fmt::format("/i/records/workspaces/workspace-{}", index), R"({"schema":1,"residency":"home","rate":1000,"burst":5000})", Revision(1) });
        for (std::size_t key = 0; key < 4; ++key)
            update.changes.push_back({ fmt::format("/i/records/keys/{:064x}", index * 4 + key), fmt::format(R"({{"schema":1,"workspace":"workspace-{}"}})", index), Revision(1) });
    }
    log.adopt(update);
    const auto start = std::chrono::steady_clock::now();
    const auto snapshot = log.records().compile();
    const double compileTime = milliseconds(std::chrono::steady_clock::now() - start);
    const auto name = fmt::format("configuration/workspaces-{}", workspaces);
    report(name, "records", static_cast<double>(snapshot->recordCount()), 0, seed);
    report(name, "text_bytes_per_workspace", static_cast<double>(log.size().count()) / static_cast<double>(workspaces), 0, seed);
    report(name, "full_update_bytes", static_cast<double>(frameBytes(SendUpdate { InstanceId("a"), log.updateFrom(noRevision) })), 0, seed);
    report(name, "compile_ms", compileTime, 0, seed);
}

void runConfiguration(std::uint64_t seed)
{
    for (const auto& size : { FleetSize { 3, 3 }, FleetSize { 3, 7 }, FleetSize { 12, 7 }, FleetSize { 51, 3 }, FleetSize { 51, 7 } })
        runFleetSize(size, seed);
    runStorePartition(seed);
    for (const auto workspaces : { workspacesAtFullSize / 10, workspacesAtFullSize / 2, workspacesAtFullSize })
        runMemory(workspaces, seed);
}

const BenchmarkRegistration registration("configuration", runConfiguration);

} // namespace

} // namespace Ibisturn::Benchmarks
