#pragma once

#include "ReplicaModel.h"

#include <LibDecision/Admission/AdmissionControl.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Ibisturn::Benchmarks {

/// One request of a workload.
struct WorkloadRequest {
    TimePoint arrivalTime;
    WorkspaceId workspace;
    ReplicaJob job;
    Duration patience { std::chrono::seconds(10) };
};

/// The outcome of one request.
struct RequestOutcome {
    WorkspaceId workspace;
    /// Time from arrival to the first token; nothing if the request was refused.
    std::optional<Duration> timeToFirstToken;
    /// Whether the first token arrived within the caller's patience.
    bool isOnTime { false };
    std::uint32_t tokens { 0 };
};

enum class LaneKind : std::uint8_t {
    PerWorkspace,
    /// One queue for all workspaces, that is, without fair queueing.
    Shared,
};

struct PoolModelOptions {
    std::size_t replicas { 8 };
    /// Instances that share the replicas and decide independently of one another.
    std::size_t instances { 3 };
    ReplicaSpeed speed;
    FairQueueLimits admission;
    std::uint32_t initialLimit { 4 };
    std::uint32_t maxLimit { 64 };
    Duration reportPeriod { std::chrono::milliseconds(500) };
    Duration reportLag { std::chrono::milliseconds(500) };
    /// Share of load reports that are lost.
    double reportLoss { 0.2 };
    /// Share of requests that arrive at the instance to which their workspace is directed.
    double directedShare { 0.8 };
    LaneKind queue { LaneKind::PerWorkspace };
};

/// Simulates a workload in virtual time: the product's admission control dispatches to queueing models of replicas.
/// Thread safety: one thread.
class PoolModel {
public:
    using StrategyFactory = std::function<std::unique_ptr<PoolStrategy>()>;

    PoolModel(PoolModelOptions options, const StrategyFactory& makeStrategy, std::uint64_t seed);

    /// Runs `workload`, which is sorted by arrival, to completion; the outcomes are in the same order.
    std::vector<RequestOutcome> run(const std::vector<WorkloadRequest>& workload);

    /// The share of requests that ran whose prefix was cached.
    double cacheHitRatio() const;

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        End,
        Report,
        ReportArrival,
    };
    struct Event {
        TimePoint time;
        std::uint64_t sequence;
        EventKind kind;
        std::uint64_t subject;
        LoadReport report {};
        bool operator>(const Event& other) const { return std::pair(time, sequence) > std::pair(other.time, other.sequence); }
    };
    struct InFlightRequest {
        std::size_t instance { 0 };
        BackendPool::Index server { 0 };
        TimePoint sent;
        TimePoint firstToken;
    };

    void push(TimePoint time, EventKind kind, std::uint64_t subject, LoadReport report = {});
    void handle(const Event& event);
    void arrive(TimePoint now, std::uint64_t request);
    std::size_t chooseInstance(const WorkspaceId& workspace);
    void end(TimePoint now, std::uint64_t request);
    void sendLoadReport(TimePoint now, std::size_t replica);
    void apply(TimePoint now, std::size_t instance, const std::vector<AdmissionAction>& actions);
    void begin(const JobStart& start);

    PoolModelOptions options_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<AdmissionControl>> instances_;
    std::vector<ReplicaModel> replicas_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t sequence_ { 0 };
    std::size_t unfinished_ { 0 };
    const std::vector<WorkloadRequest>* workload_ { nullptr };
    std::vector<RequestOutcome> outcomes_;
    std::vector<InFlightRequest> inFlight_;
};

/// The load of one workspace, with Poisson arrivals.
struct WorkspaceLoad {
    std::string workspace;
    double requestsPerSecond { 1 };
    std::uint32_t promptTokens { 400 };
    std::uint32_t answerTokens { 100 };
    /// Number of distinct prompt prefixes.
    std::uint64_t prefixes { 4 };
    Duration patience { std::chrono::seconds(10) };
};

/// Generates the arrivals of all workspaces within `length`, sorted by time.
std::vector<WorkloadRequest> generateWorkload(const std::vector<WorkspaceLoad>& loads, Duration length, std::uint64_t seed);

/// A quantile of the time to first token in seconds, for one workspace, or for all if `workspace` is empty.
double timeToFirstTokenQuantile(const std::vector<RequestOutcome>& outcomes, const std::string& workspace, double probability);

} // namespace Ibisturn::Benchmarks
