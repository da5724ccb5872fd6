#include <LibHTTP/Requests/StreamResumption.h>

#include <LibCore/SteadyClock.h>
#include <LibDecision/Streams/StreamOriginSearch.h>
#include <LibKernel/Pause.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log resumptionLog("request", LineKind::Request);
/// Short in comparison with the time between two reports of an instance.
constexpr Duration pollInterval = std::chrono::milliseconds(20);

bool namesStream(const RoutedRequest& routed)
{
    return routed.resumes && !routed.resumes->empty();
}

StreamResumption resumptionOf(const Snapshot& snapshot, const GatewayRequest& request, TimePoint now)
{
    const auto& routed = *request.routed;
    StreamResumption resumption;
    resumption.name = namesStream(routed) ? StreamName::Named : StreamName::Unnamed;
    resumption.service = routed.service;
    resumption.arrivedAt = now;
    resumption.deadline = request.deadline;
    const auto* route = snapshot.findRoute(routed.route);
    if (route && route->policy) {
        for (const auto& share : route->policy->services)
            resumption.routeServices.push_back(share.service);
    }
    if (resumption.routeServices.empty())
        resumption.routeServices.push_back(routed.service);
    return resumption;
}

Error errorOf(const RequestEvent& reason)
{
    auto code = ResultCode::CallerGone;
    if (const auto* reviewed = std::get_if<AccessReviewed>(&reason))
        code = reviewed->access;
    else if (std::holds_alternative<DeadlinePassed>(reason))
        code = ResultCode::DeadlineExceeded;
    return { code, Ran::No, std::string(resultCodeEntry(code).meaning) };
}

void logDecision(const GatewayRequest& request, const StreamOriginSearch::Found& found, Duration waited, std::string_view outcome)
{
    const auto& routed = *request.routed;
    const auto* resumes = namesStream(routed) ? routed.resumes->c_str() : routed.resumes ? "unusable"
                                                                                         : "missing";
    resumptionLog.info("Stream resumption decided.", { { "request", routed.callerId }, { "resumes", resumes }, { "service", found.origin.service }, { "version", found.origin.version.isEmpty() ? std::string("unknown") : found.origin.version.value() }, { "evidence", streamEvidenceName(found.evidence) }, { "waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count() }, { "outcome", outcome }, { "after_event", request.resumeAfter.value_or(0) }, { "route", routed.route }, { "workspace", request.workspace } });
}

} // namespace

bool isStreamResumption(const GatewayRequest& request)
{
    return request.routed && request.routed->resume == ResumeSupport::Supported && request.resumeAfter;
}

Task<void> bindToStreamOrigin(InstanceTables& tables, SnapshotPointer snapshot, GatewayRequest& request)
{
    auto& routed = *request.routed;
    const SteadyClock clock;
    const auto arrivedAt = clock.now();
    const StreamOriginSearch search(resumptionOf(*snapshot, request, arrivedAt));
    const auto key = namesStream(routed) ? std::optional(streamKeyOf(request.workspace, *routed.resumes)) : std::nullopt;
    const auto onlyVersion = [&](const ServiceId& service) { return tables.versionLedger.onlyVersion(service, arrivedAt); };
    bool hasRequestedProof = false;
    for (;;) {
        const auto now = clock.now();
        const auto noted = key ? tables.streamOrigins.find(now, *key) : std::nullopt;
        if (!noted && !std::exchange(hasRequestedProof, true))
            tables.versionLedger.requestProof(now);
        const auto step = search.look(now, noted, onlyVersion);
        if (const auto* found = std::get_if<StreamOriginSearch::Found>(&step)) {
            routed.service = found->origin.service;
            routed.requiredVersion = found->origin.version;
            logDecision(request, *found, now - arrivedAt, "bound");
            tables.metrics.increment(fmt::format("ibisturn_stream_resumptions_total{{evidence=\"{}\"}}", streamEvidenceName(found->evidence)));
            co_return;
        }
        if (std::holds_alternative<StreamOriginSearch::Refuse>(step)) {
            const auto& entry = resultCodeEntry(ResultCode::StreamOriginUnknown);
            logDecision(request, { noted.value_or(StreamOrigin { routed.service, {} }), StreamEvidence::None }, now - arrivedAt, entry.name);
            tables.metrics.increment("ibisturn_stream_resumptions_total{evidence=\"none\"}");
            tables.metrics.increment(fmt::format("ibisturn_stream_resumptions_refused_total{{result=\"{}\"}}", entry.name));
            throw Error(ResultCode::StreamOriginUnknown, Ran::No, std::string(entry.meaning));
        }
        co_await pause(std::min(pollInterval, search.endsAt() - now));
        if (request.cancellation && request.cancellation->reason())
            throw errorOf(*request.cancellation->reason());
    }
}

void requireStreamVersion(const GatewayRequest& request)
{
    if (isStreamResumption(request) && !request.routed->requiredVersion)
        throw Error(ResultCode::StreamOriginUnknown, Ran::No, "The sender does not say which software version began the stream");
}

StreamBinding streamBindingOf(const GatewayRequest& request)
{
    if (!request.routed || request.routed->resume == ResumeSupport::Unsupported)
        return {};
    const auto& version = request.routed->requiredVersion;
    return version ? StreamBinding::forVersion(*version) : StreamBinding::forNewStream();
}

void recordStreamOrigin(InstanceTables& tables, const GatewayRequest& request, const SoftwareVersion& version)
{
    const auto& routed = *request.routed;
    // A resumption is noted for the attempt that brought the first event, which the caller names in all its tries.
    const auto& attempt = isStreamResumption(request) && namesStream(routed) ? *routed.resumes : routed.callerId;
    if (version.isEmpty() || attempt.empty())
        return;
    tables.streamOrigins.record(SteadyClock().now(), request.workspace, attempt, { routed.service, version });
}

} // namespace Ibisturn
