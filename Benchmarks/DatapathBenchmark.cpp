#include "Benchmark.h"

#include <Tests/Support/LoopbackEngine.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackRecords.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <numeric>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

namespace Ibisturn::Benchmarks {

namespace {

using Testing::LoopbackEngine;
using Testing::LoopbackInstance;

constexpr std::size_t warmUpRequests = 500;
constexpr std::size_t sequentialRequests = 5'000;
constexpr std::size_t requestsPerConnection = 2'000;
constexpr std::size_t connections = 16;
constexpr std::size_t workspaces = 1'400;
constexpr std::size_t backendServers = 1'700;
constexpr double microseconds = 1e-3;
constexpr double kibibyte = 1024;

/// Sends requests sequentially on keep-alive connections and records the latency of each.
class LoadClient {
public:
    explicit LoadClient(const Endpoint& target)
        : target_(target)
    {
        const std::string body = R"({"model":"here","messages":[{"role":"user","content":"When does the gate open?"}]})";
        request_ = fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            Testing::callerKey, body.size(), body);
    }

    /// Sends `count` requests on each of `connectionCount` connections and returns all latencies in ascending order.
    std::vector<Duration> run(std::size_t connectionCount, std::size_t count)
    {
        Asio::io_context context(1);
        latencies_.clear();
        for (std::size_t index = 0; index < connectionCount; ++index)
            Asio::co_spawn(context, sendAll(count), Asio::detached);
        context.run();
        if (latencies_.size() != connectionCount * count)
            throw std::runtime_error("datapath: a request failed");
        std::sort(latencies_.begin(), latencies_.end());
        return latencies_;
    }

private:
    Task<void> sendAll(std::size_t count)
    {
        const auto executor = co_await Asio::this_coro::executor;
        Asio::ip::tcp::socket socket(executor);
        const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(target_.address), target_.port);
        co_await socket.async_connect(endpoint, Asio::use_awaitable);
        socket.set_option(Asio::ip::tcp::no_delay(true));
        for (std::size_t index = 0; index < count; ++index) {
            const auto started = std::chrono::steady_clock::now();
            co_await Asio::async_write(socket, Asio::buffer(request_), Asio::use_awaitable);
            const bool isComplete = co_await readAnswer(socket);
            if (!isComplete)
                co_return;
            latencies_.emplace_back(std::chrono::steady_clock::now() - started);
        }
    }

    // The engine's short answers end with their JSON, or with the last chunk if they are chunked.
    static Task<bool> readAnswer(Asio::ip::tcp::socket& socket)
    {
        std::array<char, 4096> buffer; // NOLINT: filled before it is read
        std::string answer;
        boost::system::error_code error;
        while (!error) {
            const auto length = co_await socket.async_read_some(Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
            answer.append(buffer.data(), length);
            const bool isChunked = answer.find("chunked\r\n") != std::string::npos;
            if (answer.ends_with(isChunked ? "\r\n0\r\n\r\n" : "{\"choices\":[ ]}"))
                co_return answer.starts_with("HTTP/1.1 200");
        }
        co_return false;
    }

    Endpoint target_;
    std::string request_;
    std::vector<Duration> latencies_;
};

double toMicroseconds(Duration duration)
{
    return static_cast<double>(duration.count()) * microseconds;
}

double percentile(const std::vector<Duration>& sorted, double share)
{
    return toMicroseconds(sorted.at(static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))));
}

/// The measurements of one path, with the processor time that the instances' workers used.
struct PathResult {
    std::vector<Duration> sequentialLatencies;
    std::size_t requests { 0 };
    Duration processorTime {};

    double requestsPerCoreSecond() const { return static_cast<double>(requests) / std::chrono::duration<double>(processorTime).count(); }
};

PathResult measure(const Endpoint& target, const std::vector<LoopbackInstance*>& instances)
{
    LoadClient client(target);
    client.run(1, warmUpRequests);
    PathResult result;
    result.sequentialLatencies = client.run(1, sequentialRequests);
    const auto totalProcessorTime = [&instances] {
        return std::accumulate(instances.begin(), instances.end(), Duration::zero(), [](Duration sum, LoopbackInstance* instance) { return sum + instance->worker().processorTime(); });
    };
    const auto before = totalProcessorTime();
    result.requests = client.run(connections, requestsPerConnection).size();
    result.processorTime = totalProcessorTime() - before;
    return result;
}

std::vector<Testing::RecordText> fullSizeRecords(const Endpoint& engine, const std::string& engineRegion)
{
    auto records = Testing::recordsFor(engine, engineRegion);
    for (std::size_t index = 0; index < workspaces; ++index) {
        const auto name = fmt::format("workspace-{}", index);
        records.push_back({ { "workspaces", name }, R"({"schema":1,"residency":"home","rate":1000,"burst":5000})" });
        records.push_back({ { "keys", digestOfKey(name).value() }, fmt::format(R"({{"schema":1,"workspace":"{}"}})", name) });
    }
    for (std::size_t index = 0; index < backendServers; ++index) {
        const auto json = fmt::format(R"({{"schema":1,"endpoint":"127.0.0.1:1","region":"r{}","data_centre":"d{}","routes":["model-{}"]}})", index % 20, index % 51, index % 29);
        records.push_back({ { "backend_servers", fmt::format("backend-server-{}", index) }, json });
    }
    return records;
}

double residentKibibytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / kibibyte;
}

void printLatency(const std::string& path, const PathResult& measured, const PathResult& direct, std::uint64_t seed)
{
    for (const auto& [name, share] : { std::pair { "p50", 0.5 }, std::pair { "p99", 0.99 } }) {
        const auto value = percentile(measured.sequentialLatencies, share);
        const auto baseline = percentile(direct.sequentialLatencies, share);
        print({ "datapath", fmt::format("{}_latency_{}_us", path, name), value, baseline, seed });
        print({ "datapath", fmt::format("{}_added_{}_us", path, name), value - baseline, baseline, seed });
    }
}

// The baseline of a path through instances is the same requests sent directly to the engine in the same run.
void run(std::uint64_t seed)
{
    LoopbackEngine engine(0, 0);
    const auto before = residentKibibytes();
    LoopbackInstance khomas(Testing::settingsIn("khomas"));
    LoopbackInstance erongo(Testing::settingsIn("erongo"));
    const auto records = Testing::recordSetOf(fullSizeRecords(engine.endpoint(), "khomas"));
    khomas.tables().configuration.set(records.compile());
    print({ "datapath", "resident_idle_kib", residentKibibytes(), before, seed });

    const auto direct = measure(engine.endpoint(), {});
    const auto one = measure(khomas.member().callers, { &khomas });
    const auto remote = Testing::snapshotOf(fullSizeRecords(engine.endpoint(), "erongo"));
    auto membership = std::make_shared<MembershipView>();
    membership->instances = { erongo.member(), khomas.member() };
    for (auto* instance : { &khomas, &erongo }) {
        instance->tables().membership.set(membership);
        instance->tables().configuration.set(remote);
    }
    const auto two = measure(khomas.member().callers, { &khomas, &erongo });
    printLatency("one_instance", one, direct, seed);
    printLatency("two_instances", two, direct, seed);
    print({ "datapath", "one_instance_requests_per_core_s", one.requestsPerCoreSecond(), 0, seed });
    print({ "datapath", "two_instances_requests_per_core_s", two.requestsPerCoreSecond(), one.requestsPerCoreSecond(), seed });
}

const BenchmarkRegistration registration("datapath", run);

} // namespace

} // namespace Ibisturn::Benchmarks
