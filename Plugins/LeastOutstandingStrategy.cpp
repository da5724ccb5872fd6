#include <LibHTTP/Backends/RoutingStrategyRegistry.h>

#include <LibDecision/Membership/EntryDirectory.h>

namespace Ibisturn {

namespace {

/// Chooses the backend server with the fewest requests in flight. Ties are broken by rendezvous hashing.
class LeastOutstandingStrategy final : public RoutingStrategy {
public:
    std::size_t choose(std::span<const BackendCandidate> candidates, std::uint64_t requestHash) override
    {
        const auto subject = std::to_string(requestHash);
        std::size_t best = 0;
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            if (isBetter(candidates[index], candidates[best], subject))
                best = index;
        }
        return best;
    }

private:
    static bool isBetter(const BackendCandidate& left, const BackendCandidate& right, const std::string& subject)
    {
        if (left.outstanding != right.outstanding)
            return left.outstanding < right.outstanding;
        return rendezvousScore(subject, left.id.value()) > rendezvousScore(subject, right.id.value());
    }
};

const PluginRegistration<RoutingStrategyRegistry> registration("least-outstanding", [] { return std::make_unique<LeastOutstandingStrategy>(); });

} // namespace

} // namespace Ibisturn
