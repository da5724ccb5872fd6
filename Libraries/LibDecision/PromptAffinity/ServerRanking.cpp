#include <LibDecision/PromptAffinity/ServerRanking.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>

#include <xxhash.h>

namespace Ibisturn {

namespace {

/// Steps of speed within a factor of two.
constexpr double stepsPerOctave = 3;
/// Distance from the centre of a step, in steps, at which a speed leaves it. Above a half, so that a speed at the edge of two steps stays in one.
constexpr double leaveDistance = 0.75;

} // namespace

void ServerRanking::setServers(const std::vector<BackendServerId>& servers)
{
    const auto hasSameId = [](const RankedServer& server, const BackendServerId& id) { return server.id == id; };
    if (std::equal(servers_.begin(), servers_.end(), servers.begin(), servers.end(), hasSameId))
        return;
    std::map<BackendServerId, RankedServer> known;
    for (auto& server : servers_)
        known.emplace(server.id, server);
    servers_.clear();
    for (const auto& id : servers) {
        const auto found = known.find(id);
        if (found != known.end())
            servers_.push_back(found->second);
        else
            servers_.push_back({ id, XXH64(id.value().data(), id.value().size(), 0) });
    }
    ++version_;
}

void ServerRanking::setSpeed(std::size_t index, double speed)
{
    auto& server = servers_[index];
    const auto position = std::log2(std::clamp(speed, minSpeed, maxSpeed)) * stepsPerOctave;
    if (std::abs(position - server.speedStep) < leaveDistance)
        return;
    server.speedStep = static_cast<int>(std::lround(position));
    server.speed = std::exp2(server.speedStep / stepsPerOctave);
    ++version_;
}

std::vector<std::size_t> ServerRanking::rank(std::uint64_t key, std::size_t count) const
{
    using Score = std::pair<double, std::size_t>;
    // The lowest -ln(u) / speed ranks first. A score of at least -ln(u) / maxSpeed spares most servers the logarithm.
    std::vector<Score> best;
    const auto wanted = std::min(count, servers_.size());
    if (wanted == 0)
        return {};
    double minUniform = 0;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        const auto hash = XXH64(&key, sizeof key, servers_[index].hash);
        const auto uniform = (static_cast<double>(hash >> 11U) + 0.5) * std::exp2(-53);
        if (uniform < minUniform)
            continue;
        const Score score { -std::log(uniform) / servers_[index].speed, index };
        best.insert(std::upper_bound(best.begin(), best.end(), score), score);
        if (best.size() > wanted)
            best.pop_back();
        if (best.size() == wanted)
            minUniform = std::exp(-best.back().first * maxSpeed);
    }
    std::vector<std::size_t> ranked;
    ranked.reserve(best.size());
    for (const auto& [score, index] : best)
        ranked.push_back(index);
    return ranked;
}

} // namespace Ibisturn
