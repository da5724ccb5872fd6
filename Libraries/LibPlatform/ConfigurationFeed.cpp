#include <LibPlatform/ConfigurationFeed.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log feedLog("configuration");
constexpr Duration retryPause = std::chrono::milliseconds(200);

Task<void> pause(Duration duration)
{
    const auto executor = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

} // namespace

ConfigurationFeed::ConfigurationFeed(StoreClient& store, std::string prefix, Callback onSnapshot)
    : store_(store)
    , prefix_(std::move(prefix))
    , onSnapshot_(std::move(onSnapshot))
    , records_(prefix_)
{
}

Task<void> ConfigurationFeed::run()
{
    for (;;) {
        try {
            co_await readAll();
            co_await follow();
        } catch (const std::exception& error) {
            feedLog.warning("Store lost.", { { "reason", error.what() }, { "revision", records_.revision() } });
        }
        co_await pause(retryPause);
    }
}

Task<void> ConfigurationFeed::readAll()
{
    std::string prefix = prefix_ + "records/";
    const StoreRange range = co_await store_.range(std::move(prefix));
    // A store that was restored from an older state must not take the configuration back.
    if (range.revision < records_.revision())
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The store answers with an older revision");
    records_.reset(range.revision);
    for (const auto& entry : range.entries)
        records_.apply(entry.key, entry.value, entry.revision);
    publish();
}

Task<void> ConfigurationFeed::follow()
{
    std::string prefix = prefix_ + "records/";
    std::function<void(StoreChanges)> onChanges = [this](const StoreChanges& changes) { adopt(changes); };
    co_await store_.watch(std::move(prefix), records_.revision() + Revision(1), std::move(onChanges));
}

void ConfigurationFeed::adopt(const StoreChanges& changes)
{
    for (const auto& change : changes.changes)
        records_.apply(change.key, change.value, change.revision);
    records_.advance(changes.revision);
    if (!changes.changes.empty())
        publish();
}

void ConfigurationFeed::publish()
{
    if (records_.revision() <= published_)
        return;
    published_ = records_.revision();
    auto snapshot = records_.compile();
    feedLog.info("Configuration in force.", { { "revision", snapshot->revision() }, { "records", snapshot->recordCount() } });
    onSnapshot_(std::move(snapshot));
}

} // namespace Ibisturn
