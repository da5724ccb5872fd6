#pragma once

#include <LibDecision/Streams/StreamOrigins.h>

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace Ibisturn {

/// What shows which software version began a stream.
enum class StreamEvidence : std::uint8_t {
    None,
    /// The origin was noted when the first event was relayed.
    Note,
    /// Only one version can have begun streams of the service.
    Ledger,
};

/// The name of the evidence in logs and metrics.
const char* streamEvidenceName(StreamEvidence evidence);

/// Whether a caller that resumes a stream names the attempt that brought its first event.
enum class StreamName : std::uint8_t {
    Unnamed,
    Named,
};

/// A request that resumes a stream.
struct StreamResumption {
    StreamName name { StreamName::Unnamed };
    /// The services of the request's route. If the caller names the attempt, that attempt was sent to `service`, unless the
    /// route's shares have changed.
    std::vector<ServiceId> routeServices;
    ServiceId service;
    TimePoint arrivedAt;
    TimePoint deadline;
};

/// Looks for the software version that began a stream that a caller resumes. Notes of other instances arrive with a delay, and the ledger has
/// to be read, so the search lasts for a while; "unknown" never means that any version may go on. Thread safety: one thread at a time.
class StreamOriginSearch {
public:
    /// The stream may go on at this origin.
    struct Found {
        StreamOrigin origin;
        StreamEvidence evidence { StreamEvidence::None };
    };
    /// Look again later.
    struct Wait {
    };
    /// The request is to be refused.
    struct Refuse {
    };
    using Step = std::variant<Found, Wait, Refuse>;

    /// Returns the version that began all streams of a service that had begun when the request arrived, if there is only one.
    using OnlyVersion = std::function<std::optional<SoftwareVersion>(const ServiceId&)>;

    /// No search lasts longer than this, nor longer than a quarter of the time that the request had left. Notes arrive within a few
    /// status periods, and callers give up a stream two seconds after its last event at the earliest.
    static constexpr Duration maxWait = std::chrono::seconds(1);
    static constexpr int shareOfTimeLeft = 4;

    explicit StreamOriginSearch(StreamResumption resumption);

    /// Takes what is known at `now`. `noted` is the noted origin of the stream that the caller names.
    Step look(TimePoint now, const std::optional<StreamOrigin>& noted, const OnlyVersion& onlyVersion) const;

    /// When the search ends without evidence.
    TimePoint endsAt() const { return endsAt_; }

private:
    std::optional<ServiceId> possibleService() const;

    StreamResumption resumption_;
    TimePoint endsAt_;
};

} // namespace Ibisturn
