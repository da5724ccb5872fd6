#include <LibDecision/Streams/StreamOriginSearch.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

const char* streamEvidenceName(StreamEvidence evidence)
{
    switch (evidence) {
    case StreamEvidence::Note:
        return "note";
    case StreamEvidence::Ledger:
        return "ledger";
    case StreamEvidence::None:
        break;
    }
    return "none";
}

StreamOriginSearch::StreamOriginSearch(StreamResumption resumption)
    : resumption_(std::move(resumption))
    , endsAt_(resumption_.arrivedAt + std::clamp((resumption_.deadline - resumption_.arrivedAt) / shareOfTimeLeft, Duration::zero(), maxWait))
{
}

StreamOriginSearch::Step StreamOriginSearch::look(TimePoint now, const std::optional<StreamOrigin>& noted, const OnlyVersion& onlyVersion) const
{
    if (noted && resumption_.name == StreamName::Named) {
        const auto& services = resumption_.routeServices;
        // A service that the route has no more can't go on with the stream, and no other one may.
        if (std::find(services.begin(), services.end(), noted->service) == services.end() || noted->version.isEmpty())
            return Refuse {};
        return Found { *noted, StreamEvidence::Note };
    }
    const auto service = possibleService();
    if (const auto version = service ? onlyVersion(*service) : std::nullopt; version && !version->isEmpty())
        return Found { { *service, *version }, StreamEvidence::Ledger };
    // Without a name or a single possible service, waiting brings no evidence.
    if (now >= endsAt_ || (!service && resumption_.name == StreamName::Unnamed))
        return Refuse {};
    return Wait {};
}

// The service that began the stream, as far as it is known without a note. An unnamed stream of a route with several services may be any one's.
std::optional<ServiceId> StreamOriginSearch::possibleService() const
{
    if (resumption_.name == StreamName::Unnamed && resumption_.routeServices.size() > 1)
        return std::nullopt;
    return resumption_.service;
}

} // namespace Ibisturn
