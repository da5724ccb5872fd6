#pragma once

#include <LibHTTP/Callers/IdleConnections.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace Ibisturn {

/// Bounds the connections of one listener. Thread safety: one worker.
class ConnectionLimit {
public:
    /// Counts one connection for its lifetime.
    class Scope {
    public:
        explicit Scope(std::shared_ptr<std::uint64_t> open)
            : open_(std::move(open))
        {
            ++*open_;
        }

        Scope(Scope&&) noexcept = default;
        Scope& operator=(Scope&&) = delete;
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

        ~Scope()
        {
            if (open_)
                --*open_;
        }

    private:
        std::shared_ptr<std::uint64_t> open_;
    };

    explicit ConnectionLimit(std::uint64_t most)
        : most_(most)
    {
    }

    /// Counts a new connection, after closing the one that has been idle longest if there are too many. Empty if none of them is idle, so that
    /// the new one must be closed.
    std::optional<Scope> open()
    {
        if (*open_ >= most_ && !idle_.closeLongestIdle())
            return std::nullopt;
        return Scope(open_);
    }

    /// Those that wait for a request.
    IdleConnections& idle() { return idle_; }

private:
    std::uint64_t most_;
    IdleConnections idle_;
    // Shared with the scopes: an event loop destroys its suspended coroutines after the other members of the worker.
    std::shared_ptr<std::uint64_t> open_ { std::make_shared<std::uint64_t>(0) };
};

} // namespace Ibisturn
