#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibPlatform/StoreClient.h>

#include <functional>

namespace Ibisturn {

/// Follows the records in the store and passes on a snapshot whenever they change.
/// Thread safety: one worker.
class ConfigurationFeed {
public:
    using Callback = std::function<void(SnapshotPointer)>;

    /// Precondition: `store` outlives the feed.
    ConfigurationFeed(StoreClient& store, std::string prefix, Callback onSnapshot);

    /// Reads and watches until the event loop stops; tries again after each failure.
    Task<void> run();

private:
    Task<void> readAll();
    Task<void> follow();
    void adopt(const StoreChanges& changes);
    void publish();

    StoreClient& store_;
    std::string prefix_;
    Callback onSnapshot_;
    RecordSet records_;
    Revision published_ { -1 };
};

} // namespace Ibisturn
