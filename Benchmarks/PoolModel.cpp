#include "PoolModel.h"

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>

#include <fmt/format.h>

namespace Ibisturn::Benchmarks {

namespace {

std::vector<BackendServerId> replicaNames(std::size_t replicas)
{
    std::vector<BackendServerId> names;
    for (std::size_t index = 0; index < replicas; ++index)
        names.emplace_back(fmt::format("engine-{}", index));
    return names;
}

} // namespace

PoolModel::PoolModel(PoolModelOptions options, const StrategyFactory& makeStrategy, std::uint64_t seed)
    : options_(options)
    , random_(seed)
    , replicas_(options.replicas, ReplicaModel(options.speed))
{
    for (std::size_t index = 0; index < options.instances; ++index) {
        BackendPool pool(replicaNames(options.replicas), options.initialLimit, options.maxLimit);
        for (std::size_t server = 0; server < options.replicas; ++server)
            pool.setPrimary(server, server % options.instances == index);
        instances_.push_back(std::make_unique<AdmissionControl>(std::move(pool), makeStrategy(), options.admission));
    }
}

std::vector<RequestOutcome> PoolModel::run(const std::vector<WorkloadRequest>& workload)
{
    workload_ = &workload;
    outcomes_.assign(workload.size(), {});
    inFlight_.assign(workload.size(), {});
    unfinished_ = workload.size();
    for (std::size_t index = 0; index < workload.size(); ++index) {
        outcomes_[index].workspace = workload[index].workspace;
        push(workload[index].arrivalTime, EventKind::Arrival, index);
    }
    for (std::size_t replica = 0; replica < replicas_.size(); ++replica)
        push(TimePoint(options_.reportPeriod), EventKind::Report, replica);
    while (unfinished_ > 0 && !events_.empty()) {
        const auto event = events_.top();
        events_.pop();
        handle(event);
    }
    return outcomes_;
}

double PoolModel::cacheHitRatio() const
{
    std::uint64_t hits = 0;
    for (const auto& replica : replicas_)
        hits += replica.cacheHits();
    const auto ran = std::count_if(outcomes_.begin(), outcomes_.end(), [](const auto& outcome) { return outcome.timeToFirstToken.has_value(); });
    return ran == 0 ? 0 : static_cast<double>(hits) / static_cast<double>(ran);
}

void PoolModel::push(TimePoint time, EventKind kind, std::uint64_t subject, LoadReport report)
{
    events_.push({ time, ++sequence_, kind, subject, report });
}

void PoolModel::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        return arrive(event.time, event.subject);
    case EventKind::End:
        return end(event.time, event.subject);
    case EventKind::Report:
        return sendLoadReport(event.time, event.subject);
    case EventKind::ReportArrival:
        for (std::size_t instance = 0; instance < instances_.size(); ++instance) {
            instances_[instance]->pool().report(event.time, event.subject, event.report);
            apply(event.time, instance, instances_[instance]->advance(event.time));
        }
        return;
    }
}

void PoolModel::arrive(TimePoint now, std::uint64_t request)
{
    const auto& work = (*workload_)[request];
    const auto instance = chooseInstance(work.workspace);
    inFlight_[request].instance = instance;
    const auto lane = options_.queue == LaneKind::Shared ? WorkspaceId("all") : work.workspace;
    const AdmissionRequest admissionRequest { RequestId(request), lane, TokenCount(work.job.promptTokens + work.job.answerTokens), now + work.patience,
        { random_(), rendezvousScore(work.workspace.value(), std::to_string(work.job.prefix)) } };
    apply(now, instance, instances_[instance]->arrive(now, admissionRequest));
}

// Callers query which instance to use, so most requests of a workspace arrive at the same one.
std::size_t PoolModel::chooseInstance(const WorkspaceId& workspace)
{
    const bool isDirected = std::uniform_real_distribution<double>()(random_) < options_.directedShare;
    const auto hash = isDirected ? rendezvousScore("instance", workspace.value()) : random_();
    return hash % instances_.size();
}

void PoolModel::end(TimePoint now, std::uint64_t request)
{
    const auto& inFlight = inFlight_[request];
    --unfinished_;
    const auto next = replicas_[inFlight.server].finish(now);
    if (next)
        begin(*next);
    // The concurrency limit adapts to the wait at the backend server, without the wait in the instance's queue.
    const auto firstToken = inFlight.firstToken - inFlight.sent;
    apply(now, inFlight.instance, instances_[inFlight.instance]->finish(now, RequestId(request), firstToken, ServiceSignal::Answered));
}

void PoolModel::sendLoadReport(TimePoint now, std::size_t replica)
{
    push(now + options_.reportPeriod, EventKind::Report, replica);
    if (std::uniform_real_distribution<double>()(random_) < options_.reportLoss)
        return;
    push(now + options_.reportLag, EventKind::ReportArrival, replica, { now, replicas_[replica].load(), replicas_[replica].waiting() });
}

void PoolModel::apply(TimePoint now, std::size_t instance, const std::vector<AdmissionAction>& actions)
{
    for (const auto& action : actions) {
        if (std::holds_alternative<RefuseAction>(action)) {
            --unfinished_;
            continue;
        }
        const auto& dispatch = std::get<DispatchAction>(action);
        const auto request = dispatch.request.count();
        inFlight_[request].instance = instance;
        inFlight_[request].server = dispatch.server;
        inFlight_[request].sent = now;
        auto job = (*workload_)[request].job;
        job.request = request;
        job.priority = dispatch.priority;
        job.prefix = rendezvousScore((*workload_)[request].workspace.value(), std::to_string(job.prefix));
        if (const auto start = replicas_[dispatch.server].arrive(now, job))
            begin(*start);
    }
}

void PoolModel::begin(const JobStart& start)
{
    const auto& work = (*workload_)[start.request];
    auto& outcome = outcomes_[start.request];
    inFlight_[start.request].firstToken = start.firstToken;
    outcome.timeToFirstToken = start.firstToken - work.arrivalTime;
    outcome.isOnTime = *outcome.timeToFirstToken <= work.patience;
    outcome.tokens = work.job.answerTokens;
    push(start.end, EventKind::End, start.request);
}

std::vector<WorkloadRequest> generateWorkload(const std::vector<WorkspaceLoad>& loads, Duration length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<WorkloadRequest> workload;
    const double seconds = std::chrono::duration<double>(length).count();
    for (const auto& load : loads) {
        std::exponential_distribution<double> gap(load.requestsPerSecond);
        std::uniform_real_distribution<double> size(0.5, 1.5);
        for (double time = gap(random); time < seconds; time += gap(random)) {
            const auto arrivalTime = TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time)));
            const ReplicaJob job { 0, random() % load.prefixes, static_cast<std::uint32_t>(load.promptTokens * size(random)),
                static_cast<std::uint32_t>(load.answerTokens * size(random)) };
            workload.push_back({ arrivalTime, WorkspaceId(load.workspace), job, load.patience });
        }
    }
    std::sort(workload.begin(), workload.end(), [](const auto& left, const auto& right) { return left.arrivalTime < right.arrivalTime; });
    return workload;
}

double timeToFirstTokenQuantile(const std::vector<RequestOutcome>& outcomes, const std::string& workspace, double probability)
{
    std::vector<double> waits;
    for (const auto& outcome : outcomes) {
        if (outcome.timeToFirstToken && (workspace.empty() || outcome.workspace.value() == workspace))
            waits.push_back(std::chrono::duration<double>(*outcome.timeToFirstToken).count());
    }
    if (waits.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(probability * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(rank), waits.end());
    return waits[rank];
}

} // namespace Ibisturn::Benchmarks
