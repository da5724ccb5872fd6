#pragma once

#include <LibDecision/Membership/EntryDirectory.h>
#include <LibKernel/HttpClient.h>
#include <LibKernel/PluginRegistry.h>

#include <functional>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// What an instance can tell of itself and of the fleet's entries.
struct EntrySource {
    std::function<bool()> isReady;
    /// The instances that callers at a place should use for requests to a host.
    std::function<std::vector<Member>(std::string_view, const CallerLocation&)> entries;
    std::function<std::string()> metrics;
    /// How long callers may keep an answer.
    Duration lifetime;
};

/// How the fleet's surroundings ask an instance for entries, readiness and metrics.
/// Thread safety: all methods from any thread.
class EntryDialect {
public:
    virtual ~EntryDialect() = default;

    /// The answer to a GET of `target`.
    virtual HttpReply answer(std::string_view target, const EntrySource& source) const = 0;
};

using EntryDialectRegistry = PluginRegistry<EntryDialect>;

} // namespace Ibisturn
