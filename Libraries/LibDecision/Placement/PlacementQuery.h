#pragma once

#include <LibConfiguration/Records.h>
#include <LibCore/Clock.h>
#include <LibDecision/Routing/HomeRegions.h>

#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// A segment of a prompt that other requests may share as a prefix.
struct PromptPart {
    /// Hash of the part's name.
    std::uint64_t id { 0 };
    TokenCount tokens;
};

/// What a request requires of a backend server.
struct PlacementQuery {
    ServiceId service;
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    /// In prompt order; the last part belongs to this request or its session only.
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    TokenCount maxAnswerTokens;
    /// When the first part of the answer should arrive at the latest.
    TimePoint target;
    /// Whether the request was placed before: an accepted request or a started stream is completed even past its target.
    bool wasPlaced { false };
    /// The caller no longer waits after this.
    TimePoint deadline;
    /// Distributes otherwise identical requests.
    std::uint64_t requestHash { 0 };
    HomeRegions homeRegions;
    /// Whether the request may be forwarded to an instance of another region.
    bool canLeaveRegion { true };
    /// Backend servers on which the request has already failed.
    std::set<BackendServerId> failedServers;
    /// Whether a failed backend server may be retried in preference to another region: it responded, but with a failure.
    bool canRetryFailedServers { false };
    /// The only software version that may run the request, since it goes on with a stream that this version began.
    std::optional<SoftwareVersion> version;
    /// Whether the request begins a stream that may be resumed, so that only versions listed in the ledger may run it.
    bool beginsStream { false };
    /// Regions in which the request has already failed.
    std::set<RegionId> failedRegions;
};

} // namespace Ibisturn
