#pragma once

#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibPlatform/StoreClient.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// Follows the keys below one prefix of the store: lists them, watches them, and goes on where it was after the watch has
/// broken. While it is suspended it makes no calls.
/// Thread safety: one worker.
class EntryFollower {
public:
    struct Listing {
        std::string prefix;
        Revision position;
        std::vector<RecordChange> entries;
    };

    struct Callbacks {
        std::function<void(const Listing&)> onListing;
        std::function<void(const std::vector<RecordChange>&)> onChanges;
        /// The revision up to which all changes are known from any source; unset before the first listing.
        std::function<std::optional<Revision>()> position;
        /// The store confirmed that all changes up to `asOf` have been passed on.
        std::function<void(TimePoint asOf)> onConfirmed;
        /// A call failed.
        std::function<void()> onFailed;
    };

    /// The store confirms a quiet prefix about once in `confirmationPeriod`. Precondition: `store` outlives the follower.
    EntryFollower(StoreClient& store, std::string prefix, Duration confirmationPeriod, Callbacks callbacks);

    /// Follows until the event loop stops.
    Task<void> run();

    /// Suspends the follower after its current call, or resumes it.
    void setSuspended(bool isSuspended);

private:
    Task<void> awaitResumption();
    Task<void> follow();
    Task<Revision> list();
    void onAnswer(TimePoint asOf);

    StoreClient& store_;
    std::string prefix_;
    Duration confirmationPeriod_;
    Callbacks callbacks_;
    std::optional<Asio::steady_timer> resumption_;
    bool isSuspended_ { false };
    bool isUnavailable_ { false };
    bool mustList_ { true };
};

} // namespace Ibisturn
