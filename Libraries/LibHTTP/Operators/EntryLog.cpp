#include <LibHTTP/Operators/EntryLog.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <string>

#include <fmt/ranges.h>

namespace Ibisturn {

namespace {

constexpr Log directoryLog("directory", LineKind::Request);

std::size_t countOf(const EntryAnswer& answer, MemberState state)
{
    if (!answer.membership)
        return 0;
    const auto& instances = answer.membership->instances;
    return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(), [state](const Member& member) { return member.state == state; }));
}

/// The weight of the host's routes with home regions that do not permit `region`.
std::size_t refusedBy(const HostRegions& regions, const RegionId& region)
{
    const auto found = regions.permittedBy.find(region);
    return regions.weight - (found == regions.permittedBy.end() ? 0 : found->second);
}

std::string restartingRegions(const EntryAnswer& answer)
{
    if (!answer.membership || !answer.membership->isSettled)
        return "unknown";
    const auto& regions = answer.membership->restartingRegions;
    return regions.empty() ? "none" : fmt::format("{}", fmt::join(regions, ","));
}

} // namespace

void EntryLog::record(const EntryAnswer& answer) const
{
    if (answer.entries.empty()) {
        metrics_.increment("ibisturn_directory_answers_total{names=\"nobody\"}");
        directoryLog.info("No instance to name.", { { "host", answer.host }, { "caller_region", answer.caller.region }, { "known", answer.membership != nullptr }, { "live", countOf(answer, MemberState::Live) }, { "suspected", countOf(answer, MemberState::Suspected) }, { "leaving", countOf(answer, MemberState::Leaving) }, { "restarting", restartingRegions(answer) }, { "configuration", answer.configuration } });
        return;
    }
    const auto& first = answer.entries.front();
    if (first.region == answer.caller.region) {
        metrics_.increment("ibisturn_directory_answers_total{names=\"own_region\"}");
        return;
    }
    metrics_.increment("ibisturn_directory_answers_total{names=\"other_region\"}");
    directoryLog.info("Callers led to another region.", { { "host", answer.host }, { "caller_region", answer.caller.region }, { "region", first.region }, { "entries", answer.entries.size() }, { "suspected", first.state == MemberState::Suspected }, { "weight_refused", refusedBy(answer.regions, first.region) }, { "weight", answer.regions.weight }, { "restarting", restartingRegions(answer) }, { "configuration", answer.configuration } });
}

} // namespace Ibisturn
