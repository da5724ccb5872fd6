#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Ibisturn {

/// Ranks the backend servers of one service in one region for a key (weighted rendezvous hashing). A server is first for a share of
/// the keys that is proportional to its speed. All instances that know the same servers and speeds rank alike, and the loss of a
/// server moves only the keys for which it was first.
/// Thread safety: one thread at a time.
class ServerRanking {
public:
    /// Slower and faster servers count as these.
    static constexpr double minSpeed = 0.5;
    static constexpr double maxSpeed = 2;

    /// Replaces the servers. Servers that stay keep their speed; others start with 1.
    void setServers(const std::vector<BackendServerId>& servers);

    /// Sets the speed of the server at `index`, relative to the mean of its service. Speeds are rounded to steps, and a step changes
    /// only if the new speed is clearly outside of it, since every change of a step moves keys and instances measure slightly different speeds.
    /// Precondition: index < size(), speed > 0.
    void setSpeed(std::size_t index, double speed);

    /// The indexes, in the order of setServers(), of the `count` servers that rank first for `key`, best first; fewer if there are fewer servers.
    std::vector<std::size_t> rank(std::uint64_t key, std::size_t count) const;

    std::size_t size() const { return servers_.size(); }
    const BackendServerId& at(std::size_t index) const { return servers_[index].id; }

    /// Changes whenever a ranking may have changed.
    std::uint64_t version() const { return version_; }

private:
    struct RankedServer {
        BackendServerId id;
        std::uint64_t hash { 0 };
        int speedStep { 0 };
        double speed { 1 };
    };

    std::vector<RankedServer> servers_;
    std::uint64_t version_ { 0 };
};

} // namespace Ibisturn
