#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Ibisturn {

/// What happens to a new connection of a caller.
enum class ConnectionDecision : std::uint8_t {
    Accept,
    /// Close the connection that has been idle longest, then accept.
    CloseIdleAndAccept,
    /// Answer that the instance has no connection left, and close.
    Refuse,
};

/// The connections of callers that one worker has.
struct ConnectionUsage {
    /// Accepted and not yet closed, idle and busy ones included. Connections that are being refused do not count.
    std::uint64_t open { 0 };
    /// Those with a request, which uses a second descriptor for its connection to a backend server or a peer.
    std::uint64_t busy { 0 };
    /// Those that wait for a request and may be closed.
    std::uint64_t idle { 0 };
};

/// Divides the file descriptors of a process, so that connections of callers leave enough for files, the store, the lease, peers and
/// backend servers, and decides about connections of callers.
/// Thread safety: one thread at a time.
class ConnectionBudget {
public:
    /// What a process uses for files, log and event loops.
    static constexpr std::uint64_t fileDescriptors = 200;
    /// For the store, the lease, the listeners of operators, 64 connections that are being refused, and 32 connections that are
    /// accepted in one pass of the event loop before a decision is made about the first of them.
    static constexpr std::uint64_t controlDescriptors = 160;
    /// Connections that are refused with a wait for their request at the same time.
    static constexpr std::uint64_t maxRefusals = 64;
    /// Bounds of retryAfter().
    static constexpr Duration minWait = std::chrono::milliseconds(100);
    static constexpr Duration maxWait = std::chrono::seconds(2);

    /// Each of `workers` gets an even part of the descriptors for connections. Precondition: workers > 0.
    explicit ConnectionBudget(std::uint64_t descriptors, std::uint64_t workers = 1);

    /// How many descriptors the connections of callers on this worker may use, together with those that their requests use.
    std::uint64_t callerDescriptors() const { return callerDescriptors_; }

    /// How many idle connections to backend servers this worker may keep.
    std::uint64_t idleServerConnections() const { return idleServerConnections_; }

    /// How many connections the listener of the directory may have.
    std::uint64_t directoryConnections() const { return directoryConnections_; }

    /// How many connections this worker may refuse at the same time while it waits for their requests.
    std::uint64_t refusals() const { return refusals_; }

    /// Decides about a new connection, which `usage` does not contain yet.
    ConnectionDecision decide(const ConnectionUsage& usage) const;

    /// Whether an idle connection must be closed because another one has become busy.
    bool mustCloseIdle(const ConnectionUsage& usage) const;

    /// Records that a request ended or a connection closed, so that there may be a descriptor for another one.
    /// Precondition: `now` does not go backwards.
    void onRelease(TimePoint now);

    /// When a refused connection is worth another attempt, from the rate of releases: between `minWait` and `maxWait`. Each call
    /// reserves one release, so that callers that are refused together do not return together.
    /// Precondition: `now` does not go backwards.
    std::chrono::milliseconds retryAfter(TimePoint now);

private:
    void advance(TimePoint now);

    std::uint64_t callerDescriptors_;
    std::uint64_t idleServerConnections_;
    std::uint64_t directoryConnections_;
    std::uint64_t refusals_;
    /// Releases in the present and the previous period.
    std::uint64_t releases_ { 0 };
    std::uint64_t releasesBefore_ { 0 };
    std::optional<TimePoint> periodStart_;
    /// When the callers that were told to wait will have been accepted.
    TimePoint queueEnd_ {};
};

} // namespace Ibisturn
