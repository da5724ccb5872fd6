#pragma once

#include <LibDecision/PromptAffinity/PartRates.h>
#include <LibDecision/PromptAffinity/ServerRanking.h>

#include <optional>

namespace Ibisturn {

/// Decides which backend servers of one service in one region hold the shared prompt parts of a session. A session is named by the
/// part before the last of the prompt. All instances of the region rank the servers alike, so they agree without messages.
/// Thread safety: one thread at a time.
class PromptAffinity {
public:
    /// One server holds this many requests per second of a session; a further one joins for each multiple. At full load an engine
    /// begins 6 to 25 requests per second.
    static constexpr double requestsPerHolder = 4;
    /// A session that needs more holders than this has none: its requests draw servers, and soon all of them have its parts.
    static constexpr std::size_t maxHolders = 4;
    /// A part that each server is expected to get this often in a window is cached everywhere: a server misses it in a window with
    /// a probability of e^-3, or 5%.
    static constexpr double commonRequestsPerServer = 3;

    /// Sets the usable backend servers of the region. Every instance may list them in another order.
    void setServers(const std::vector<BackendServerId>& servers) { ranking_.setServers(servers); }

    /// Sets the number of live instances of the region, among which the requests of a session are spread evenly. Precondition: count > 0.
    void setInstanceCount(std::size_t count) { instanceCount_ = count; }

    /// See ServerRanking::setSpeed().
    void setSpeed(std::size_t index, double speed) { ranking_.setSpeed(index, speed); }

    /// Sets the present time for the calls that follow. Times before an earlier one are ignored.
    void advance(TimePoint now) { now_ = std::max(now_, now); }

    /// Records a prompt that this instance sends to a backend server of the region.
    void onSent(const std::vector<PromptPart>& prompt) { rates_.record(now_, prompt); }

    /// The session of a prompt; nullopt if no other request can share a part of it.
    static std::optional<std::uint64_t> sessionOf(const std::vector<PromptPart>& prompt);

    /// The first servers for a session, best first: as many as may hold it, and one more, which takes over when the others are full. The
    /// reference is valid until the next call.
    const std::vector<std::size_t>& ranked(std::uint64_t session) const;

    /// How many of ranked() hold the session now. Zero if it needs more than `maxHolders`, or if its last shared part is cached everywhere.
    std::size_t holderCount(std::uint64_t session) const;

    /// The rank of a server for a session, from 0; nullopt if it is not among ranked().
    std::optional<std::size_t> rankOf(std::uint64_t session, const BackendServerId& server) const;

    /// The `count` servers that a request draws by its hash, in proportion to their speeds.
    std::vector<std::size_t> draw(std::uint64_t requestHash, std::size_t count) const { return ranking_.rank(requestHash, count); }

    /// The tokens of the leading parts that requests send to every server so often that all of them have the parts cached.
    TokenCount commonTokens(const std::vector<PromptPart>& prompt) const;

    /// Whether a part is cached on all servers.
    bool isCommon(std::uint64_t part) const;

    const ServerRanking& servers() const { return ranking_; }

private:
    ServerRanking ranking_;
    PartRates rates_;
    std::size_t instanceCount_ { 1 };
    TimePoint now_ {};
    /// The last result of ranked(), since a decision needs it several times.
    mutable std::vector<std::size_t> ranked_;
    mutable std::optional<std::pair<std::uint64_t, std::uint64_t>> rankedFor_;
};

} // namespace Ibisturn
