#pragma once

#include <LibConfiguration/Records.h>
#include <LibCore/Clock.h>

#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// A part of a prompt that other requests may begin with too.
struct PromptPart {
    /// Hash of the part's name.
    std::uint64_t id { 0 };
    TokenCount tokens;
};

/// What a request needs of a backend server.
struct PlacementAsk {
    ServiceId service;
    /// 0 is first.
    std::uint32_t priority { 0 };
    /// In order; the last part is the request's own or its session's.
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    TokenCount mostAnswerTokens;
    /// The first part of the answer should come by then.
    TimePoint target;
    /// Whether the request was placed before: what was accepted, or a stream that began, is finished also past its target.
    bool wasPlaced { false };
    /// The caller is gone after it.
    TimePoint deadline;
    /// Spreads requests that are otherwise alike.
    std::uint64_t spread { 0 };
    /// The regions that may run it; nothing for all of them.
    std::optional<std::vector<RegionId>> homes;
    /// Whether an instance of another region may be asked.
    bool mayLeaveRegion { true };
    /// Backend servers and regions that failed the request before.
    std::set<BackendServerId> failedServers;
    /// Whether one of them may be used again rather than another region: it answered, and its answer was a failure.
    bool mayRepeat { false };
    std::set<RegionId> failedRegions;
};

} // namespace Ibisturn
