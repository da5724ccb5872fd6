#include <LibHTTP/Requests/RequestLog.h>

#include <LibCore/SteadyClock.h>

#include <fmt/ranges.h>

namespace Ibisturn {

namespace {

constexpr Log requestLog("request", LineKind::Request);
/// One in this many successes is logged.
constexpr std::size_t sampleInterval = 32;

std::string nameOf(const Place& place)
{
    if (const auto* here = std::get_if<RunHere>(&place))
        return here->backendServer.value();
    const auto* forward = std::get_if<ForwardTo>(&place);
    return forward ? "instance:" + forward->instance.value() : std::string("none");
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The regions that both route and workspace permit; "none" if there are none, in which case no backend server qualifies.
std::string formatHomeRegions(const HomeRegions& homeRegions)
{
    if (!homeRegions)
        return "any";
    return homeRegions->empty() ? "none" : fmt::format("{}", fmt::join(*homeRegions, ","));
}

} // namespace

RequestLog::RequestLog(const InstanceTables& tables, const GatewayRequest& request)
    : tables_(tables)
    , workspace_(request.workspace)
    , startedAt_(SteadyClock().now())
    , isRouted_(request.routed.has_value())
{
    if (!isRouted_)
        return;
    request_ = request.routed->callerId;
    route_ = request.routed->route.value();
    service_ = request.routed->service.value();
    revision_ = request.routed->revision;
    revisionInForce_ = revision_;
    homeRegions_ = request.routed->homeRegions;
    isSampled_ = std::hash<std::string> {}(request_) % sampleInterval == 0;
}

void RequestLog::setRules(TimePoint now, const HomeRegions& homeRegions, Revision revision)
{
    if (isRouted_ && homeRegions != homeRegions_)
        requestLog.info("Home regions changed while the request was under way.", { { "request", request_ }, { "homes", formatHomeRegions(homeRegions) }, { "homes_before", formatHomeRegions(homeRegions_) }, { "route", route_ }, { "workspace", workspace_ }, { "elapsed_ms", milliseconds(now - startedAt_) }, { "configuration", revision }, { "accepted_under", revision_ } });
    homeRegions_ = homeRegions;
    revisionInForce_ = revision;
}

void RequestLog::logPlace(TimePoint now, const Place& place, Duration expected, std::uint32_t attempt, Duration coldLeft, const SessionPlace& session)
{
    // Most requests end before the configuration changes.
    const bool isUnderNewRules = homeRegions_ && revisionInForce_ != revision_;
    if (!isRouted_ || (!isSampled_ && attempt <= 1 && coldLeft == Duration::zero() && !isUnderNewRules))
        return;
    requestLog.info("Place chosen.", { { "request", request_ }, { "place", nameOf(place) }, { "expected_ms", milliseconds(expected) }, { "cold_ms", milliseconds(coldLeft) }, { "session_rank", session.rank ? static_cast<std::int64_t>(*session.rank) : -1 }, { "assumed_tokens", session.assumedTokens.count() }, { "attempt", attempt }, { "service", service_ }, { "elapsed_ms", milliseconds(now - startedAt_) }, { "configuration", revision_.number() }, { "store", storeState(now) }, { "in_force", revisionInForce_ }, { "homes", formatHomeRegions(homeRegions_) }, { "region", tables_.settings.identity.region }, { "route", route_ }, { "workspace", workspace_ } });
}

void RequestLog::logRefusal(TimePoint now, const RefusePlacement& refusal)
{
    if (!isRouted_)
        return;
    requestLog.info("No place.", { { "request", request_ }, { "code", resultCodeEntry(refusal.code).name }, { "best_ms", refusal.expected ? milliseconds(*refusal.expected) : -1 }, { "retry_after_ms", milliseconds(refusal.retryAfter) }, { "homes", formatHomeRegions(homeRegions_) }, { "route", route_ }, { "service", service_ }, { "workspace", workspace_ }, { "reserved", refusal.isReserved }, { "forecast_rate", static_cast<std::int64_t>(refusal.forecastRate) }, { "elapsed_ms", milliseconds(now - startedAt_) }, { "configuration", revision_.number() }, { "store", storeState(now) } });
}

void RequestLog::logQuarantine(TimePoint now, const ServicePart& part)
{
    if (!isRouted_)
        return;
    requestLog.info("Prompt part is quarantined.", { { "request", request_ }, { "part", formatPart(part) }, { "service", service_ }, { "workspace", workspace_ }, { "elapsed_ms", milliseconds(now - startedAt_) } });
}

void RequestLog::logBoundExceeded(const Place& place, const Error& error)
{
    requestLog.warning("Answer exceeds a bound; its connection is closed.", { { "request", request_ }, { "place", nameOf(place) }, { "code", resultCodeEntry(error.code()).name }, { "reason", error.what() } });
}

void RequestLog::logFailure(TimePoint now, const Place& place, const Error& error, RanProof proof, bool willRetry)
{
    if (!isRouted_)
        return;
    requestLog.info("Attempt failed.", { { "request", request_ }, { "place", nameOf(place) }, { "code", resultCodeEntry(error.code()).name }, { "ran", ranName(error.ran()) }, { "refused", proof == RanProof::Refusal }, { "next", willRetry ? "retry" : "end" }, { "service", service_ }, { "elapsed_ms", milliseconds(now - startedAt_) }, { "reason", error.what() }, { "store", storeState(now) } });
}

void RequestLog::logEnd(TimePoint now, const Place& place, std::optional<TimePoint> firstPart)
{
    if (!isRouted_ || !isSampled_)
        return;
    requestLog.info("Answered.", { { "request", request_ }, { "place", nameOf(place) }, { "first_part_ms", firstPart ? milliseconds(*firstPart - startedAt_) : -1 }, { "elapsed_ms", milliseconds(now - startedAt_) }, { "route", route_ }, { "workspace", workspace_ } });
}

std::string RequestLog::storeState(TimePoint now) const
{
    if (!tables_.storeUnavailableSince)
        return "followed";
    return fmt::format("away:{}ms", milliseconds(now - *tables_.storeUnavailableSince));
}

} // namespace Ibisturn
