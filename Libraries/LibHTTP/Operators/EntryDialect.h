#pragma once

#include <LibDecision/Membership/EntryDirectory.h>
#include <LibKernel/HttpClient.h>
#include <LibKernel/PluginRegistry.h>

#include <functional>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// Access to the readiness and metrics of an instance and to the fleet's entries.
struct EntrySource {
    std::function<bool()> isReady;
    /// Returns the instances that callers at the given place should use for requests to the given host.
    std::function<std::vector<Member>(std::string_view, const CallerLocation&)> entries;
    std::function<std::string()> metrics;
    /// How long callers may cache an answer.
    Duration lifetime;
};

/// The HTTP conventions in which an outside system queries an instance for entries, readiness and metrics.
/// Thread safety: all methods from any thread.
class EntryDialect {
public:
    virtual ~EntryDialect() = default;

    /// Answers a GET request for `target`.
    virtual HttpReply answer(std::string_view target, const EntrySource& source) const = 0;
};

using EntryDialectRegistry = PluginRegistry<EntryDialect>;

} // namespace Ibisturn
