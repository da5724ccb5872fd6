#include <LibPlatform/ConfigurationFeed.h>

#include <LibConfiguration/RecordHead.h>
#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibCore/RandomIdentity.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/SpawnDetached.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log feedLog("configuration");
constexpr Duration watchConfirmationPeriod = std::chrono::seconds(4);
constexpr Duration tickPeriod = std::chrono::milliseconds(100);

TimePoint now()
{
    return SteadyClock().now();
}

std::string recordsFolder(const std::string& prefix)
{
    return prefix + "records/";
}

} // namespace

ConfigurationFeed::ConfigurationFeed(StoreClient& store, InstanceIdentity self, std::string prefix, SnapshotCallback onSnapshot, PeerCallback onPeerAction)
    : store_(store)
    , prefix_(prefix)
    , onSnapshot_(std::move(onSnapshot))
    , onPeerAction_(std::move(onPeerAction))
    , adopter_(std::move(self), std::move(prefix), generateIncarnation(), now())
    , writer_(store, prefix_)
{
}

Task<void> ConfigurationFeed::run()
{
    executor_ = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(executor_);
    for (;;) {
        perform(adopter_.tick(now()));
        publish();
        timer.expires_after(tickPeriod);
        co_await timer.async_wait(Asio::use_awaitable);
    }
}

void ConfigurationFeed::setInstances(std::vector<Member> instances)
{
    adopter_.setInstances(std::move(instances));
}

std::vector<PeerAction> ConfigurationFeed::onHeartbeat(const InstanceId& from, const ControlHeartbeat& heartbeat)
{
    return performReturningAnswers(from, adopter_.onHeartbeat(now(), from, heartbeat));
}

std::vector<PeerAction> ConfigurationFeed::onUpdate(const InstanceId& from, const ConfigurationUpdate& update)
{
    return performReturningAnswers(from, adopter_.onUpdate(now(), update));
}

void ConfigurationFeed::withdraw(const RecordName& name, EmergencyWithdrawal withdrawal)
{
    withdrawal.key = recordKey(prefix_, name);
    perform(adopter_.withdraw(now(), withdrawal));
    publish();
}

Revision ConfigurationFeed::revisionOf(const RecordName& name) const
{
    const auto& entries = adopter_.log().records().entries();
    const auto found = entries.find(recordKey(prefix_, name));
    return found == entries.end() ? Revision(0) : found->second.revision;
}

Task<void> ConfigurationFeed::write(EmergencyWithdrawal withdrawal)
{
    const auto name = parseRecordKey(prefix_, withdrawal.key);
    if (!name)
        co_return;
    ChangeRequest change { withdrawal.id, withdrawal.who, withdrawal.when, {} };
    change.edits.push_back({ *name, std::nullopt, withdrawal.expected });
    try {
        const ChangeResult result = co_await writer_.write(std::move(change));
        feedLog.info("Withdrawal written.", { { "code", static_cast<unsigned>(result.code) }, { "change", withdrawal.id } });
    } catch (const std::exception& error) {
        feedLog.warning("Withdrawal not written yet.", { { "change", withdrawal.id }, { "reason", error.what() } });
    }
}

void ConfigurationFeed::leave()
{
    perform(adopter_.leave(now()));
}

std::optional<Reachability> ConfigurationFeed::reachability(const InstanceId& instance) const
{
    if (adopter_.heartbeats().isSuspected(now(), instance))
        return Reachability::Unreachable;
    if (adopter_.heartbeats().isConfirmed(now(), instance))
        return Reachability::Reachable;
    return std::nullopt;
}

ConfigurationState ConfigurationFeed::state() const
{
    return { adopter_.readiness(), adopter_.log().revision(), adopter_.storeAge(now()), adopter_.isWatcher() };
}

// Answers to the sender go back on its own connection, so they are returned instead of being sent.
std::vector<PeerAction> ConfigurationFeed::performReturningAnswers(const InstanceId& from, AdopterActions actions)
{
    std::vector<PeerAction> answers;
    std::vector<PeerAction> others;
    for (auto& action : actions.peers) {
        const auto& peer = std::visit([](const auto& message) -> const InstanceId& { return message.peer; }, action);
        auto& list = peer == from ? answers : others;
        list.push_back(std::move(action));
    }
    actions.peers = std::move(others);
    perform(actions);
    publish();
    return answers;
}

void ConfigurationFeed::perform(const AdopterActions& actions)
{
    for (const auto& action : actions.store)
        std::visit([this](const auto& storeAction) { call(storeAction); }, action);
    for (const auto& action : actions.peers)
        onPeerAction_(action);
    for (const auto& withdrawal : actions.withdrawals)
        spawnDetached(executor_, write(withdrawal), "withdrawal");
}

void ConfigurationFeed::call(const ReadStore& action)
{
    spawnDetached(executor_, read(action.call), "configuration reader");
}

void ConfigurationFeed::call(const ReadHead& action)
{
    spawnDetached(executor_, readHead(action.call), "configuration head reader");
}

void ConfigurationFeed::call(const WatchStore& action)
{
    watch_ = action.call;
    spawnDetached(executor_, watch(action), "configuration watch");
}

void ConfigurationFeed::call(const StopWatch& /*action*/)
{
    watch_.reset();
}

Task<void> ConfigurationFeed::read(StoreCallId id)
{
    try {
        std::string folder = recordsFolder(prefix_);
        const StoreRange range = co_await store_.range(std::move(folder));
        StoreRecords records { range.revision, {} };
        for (const auto& entry : range.entries)
            records.records.push_back({ entry.key, entry.value, entry.revision });
        perform(adopter_.onRead(now(), id, std::move(records)));
        publish();
    } catch (const std::exception& error) {
        feedLog.warning("Could not read the store.", { { "reason", error.what() } });
        adopter_.onStoreFailed(now(), id);
    }
}

Task<void> ConfigurationFeed::readHead(StoreCallId id)
{
    try {
        std::string key = recordHeadKey(prefix_);
        const StoreRange range = co_await store_.range(std::move(key));
        const auto head = range.entries.empty() ? Revision(0) : range.entries.front().revision;
        perform(adopter_.onHead(now(), id, head));
        publish();
    } catch (const std::exception& error) {
        feedLog.debug("Could not read the record head.", { { "reason", error.what() } });
        adopter_.onStoreFailed(now(), id);
    }
}

Task<void> ConfigurationFeed::watch(WatchStore action)
{
    std::function<void(StoreChanges)> onChanges = [this, id = action.call](const StoreChanges& changes) {
        // A watch can't be cancelled from outside; throwing here ends it with its next response.
        if (watch_ != id)
            throw Error(ResultCode::StoreUnavailable, Ran::No, "The watch was replaced");
        std::vector<RecordChange> records;
        for (const auto& change : changes.changes)
            records.push_back({ change.key, change.value, change.revision });
        perform(adopter_.onWatched(now(), id, changes.revision, records));
        publish();
    };
    try {
        std::string folder = recordsFolder(prefix_);
        co_await store_.watch(std::move(folder), action.after, watchConfirmationPeriod, std::move(onChanges));
    } catch (const std::exception& error) {
        feedLog.debug("Watch ended.", { { "reason", error.what() } });
    }
    adopter_.onStoreFailed(now(), action.call);
}

void ConfigurationFeed::publish()
{
    const bool isServing = adopter_.readiness() == Readiness::Ready;
    const auto revision = adopter_.log().revision();
    auto withdrawn = adopter_.withdrawn();
    if (isServing == isServing_ && revision == published_ && withdrawn == withdrawn_)
        return;
    withdrawn_ = std::move(withdrawn);
    isServing_ = isServing;
    published_ = revision;
    if (!isServing) {
        feedLog.warning("Not serving.", { { "revision", revision } });
        onSnapshot_(nullptr);
        return;
    }
    auto snapshot = adopter_.log().records().compile(withdrawn_);
    feedLog.info("Configuration in force.", { { "revision", snapshot->revision() }, { "records", snapshot->recordCount() } });
    onSnapshot_(std::move(snapshot));
}

} // namespace Ibisturn
