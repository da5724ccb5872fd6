#pragma once

#include <LibConfiguration/Records.h>
#include <LibCore/Clock.h>
#include <LibDecision/Registry/RegisteredServer.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// A part of the prompts of one service. Backend servers of another service may read the same part without harm.
struct ServicePart {
    ServiceId service;
    /// See PromptPart.
    std::uint64_t part { 0 };

    friend auto operator<=>(const ServicePart&, const ServicePart&) = default;
};

/// Formats the part for logs and keys of the store, as `service/number`. Thread safety: any thread.
std::string formatPart(const ServicePart& part);

/// Parses a formatted part; unset if it is invalid. Thread safety: any thread.
std::optional<ServicePart> parsePart(std::string_view text);

/// A backend server was lost when it began to answer a request whose prompt contains the part.
struct CrashReport {
    ServicePart part;
    BackendServerId server;
    StartTime started;
    /// Hash of the request's id.
    std::uint64_t request { 0 };
    /// How long ago the server was lost.
    Duration age {};
};

/// A request whose prompt contains a suspected part was answered.
struct AnswerReport {
    ServicePart part;
    Duration age {};
};

/// What one or several instances have seen of prompt parts that may crash backend servers.
struct CrashEvidence {
    std::vector<CrashReport> crashes;
    std::vector<AnswerReport> answers;

    /// Adds what other instances have seen, which was reported `ago`.
    void add(const CrashEvidence& other, Duration ago);

    /// Keeps the newest `maxReports` of each kind.
    void keepNewest(std::size_t maxReports);
};

} // namespace Ibisturn
