#pragma once

#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibPlatform/StoreClient.h>

#include <functional>
#include <string>
#include <vector>

namespace Ibisturn {

/// Follows the keys below one prefix of the store: lists them, watches them, and lists them again when the watch breaks.
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
        /// The store became unavailable, or is available again.
        std::function<void()> onUnavailable;
        std::function<void()> onAvailable;
    };

    /// Precondition: `store` outlives the follower.
    EntryFollower(StoreClient& store, std::string prefix, Callbacks callbacks);

    /// Follows until the event loop stops.
    Task<void> run();

private:
    Task<void> follow();

    StoreClient& store_;
    std::string prefix_;
    Callbacks callbacks_;
    bool isUnavailable_ { false };
};

} // namespace Ibisturn
