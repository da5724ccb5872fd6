#include <LibHTTP/Backends/SharedAdmissionControl.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::uint32_t initialLimit = 64;
constexpr std::uint32_t maxLimit = 512;
constexpr double loadFactor = 1.25;

std::vector<BackendServerId> localServers(const Snapshot& snapshot, const RouteId& route, const DataCentreId& dataCentre)
{
    std::vector<BackendServerId> servers;
    for (const auto& id : snapshot.backendServersOf(route)) {
        const auto* server = snapshot.findBackendServer(id);
        if (server && server->dataCentre == dataCentre)
            servers.push_back(id);
    }
    return servers;
}

// Whether this instance is the primary of the backend server: the live instance of the data centre with the highest
// rendezvous score for it.
bool isPrimaryOf(const BackendServerId& server, const InstanceIdentity& here, const MembershipView& membership)
{
    const auto own = rendezvousScore(server.value(), here.instance.value());
    for (const auto& member : membership.instances) {
        const bool isCandidate = member.dataCentre == here.dataCentre && member.state == MemberState::Live && member.id != here.instance;
        if (isCandidate && rendezvousScore(server.value(), member.id.value()) > own)
            return false;
    }
    return true;
}

// While a backend server or instance is failing, each request brings its own copy of the view, usually with equal content.
bool isEquivalentForPool(const MembershipPointer& known, const MembershipPointer& view)
{
    if (known == view)
        return true;
    if (!known || known->leavingBackendServers != view->leavingBackendServers)
        return false;
    const auto isSameMember = [](const Member& left, const Member& right) {
        return left.id == right.id && left.dataCentre == right.dataCentre && left.state == right.state;
    };
    return std::equal(known->instances.begin(), known->instances.end(), view->instances.begin(), view->instances.end(), isSameMember);
}

Error errorOf(const RefuseAction& refusal)
{
    Error error(refusal.code, Ran::No, std::string(resultCodeEntry(refusal.code).meaning));
    error.setRetryAfter(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter));
    return error;
}

} // namespace

/// The admission control of one set of backend servers.
struct AdmissionSlot::Pool {
    Revision revision;
    std::vector<BackendServerId> servers;
    AdmissionControl control;
    /// The membership that the availability of the backend servers was taken from.
    MembershipPointer membership;
};

/// A request that waits for the decision of the admission control.
struct SharedAdmissionControl::Waiter {
    explicit Waiter(const Asio::any_io_executor& executor)
        : timer(executor, Asio::steady_timer::time_point::max())
    {
    }

    /// Cancelled to resume the request's coroutine.
    Asio::steady_timer timer;
    std::optional<AdmissionAction> decision;
    /// The pool was replaced; the request must queue in the new one.
    bool mustRequeue { false };
    PoolPointer pool;
};

AdmissionSlot::AdmissionSlot(SharedAdmissionControl& admission, PoolPointer pool, RequestId request, BackendServerId server, EnginePriority priority)
    : admission_(admission)
    , pool_(std::move(pool))
    , request_(request)
    , server_(std::move(server))
    , priority_(priority)
{
}

AdmissionSlot::~AdmissionSlot()
{
    admission_.finish(pool_, request_, firstToken_, signal_);
}

void AdmissionSlot::recordEnd(Duration firstToken, ServiceSignal signal)
{
    firstToken_ = firstToken;
    signal_ = signal;
}

SharedAdmissionControl::SharedAdmissionControl(InstanceIdentity here)
    : here_(std::move(here))
{
}

Task<AdmissionSlotPointer> SharedAdmissionControl::admit(AdmissionQuery query, SnapshotPointer snapshot, MembershipPointer membership, CancellationPointer cancellation)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto waiter = std::make_shared<Waiter>(executor);
    const Cancellation::Scope scope(cancellation, [waiter] { waiter->timer.cancel(); });
    for (;;) {
        RequestId request;
        PoolPointer pool;
        {
            const std::scoped_lock lock(lock_);
            request = RequestId(++lastRequest_);
            pool = poolFor(query.route, snapshot, membership);
            waiter->mustRequeue = false;
            waiter->pool = pool;
            waiters_.emplace(request.count(), waiter);
            deliver(pool->control.arrive(SteadyClock().now(), { request, query.workspace, query.cost, query.deadline, query.query }));
        }
        for (bool isDecided = false; !isDecided;) {
            if (cancellation->reason()) {
                abandon(pool, request, waiter);
                throw Error(ResultCode::CallerGone, Ran::No, "The request was cancelled while it waited");
            }
            {
                const std::scoped_lock lock(lock_);
                isDecided = waiter->decision || waiter->mustRequeue;
            }
            if (isDecided)
                break;
            boost::system::error_code woken;
            co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, woken));
        }
        if (!waiter->decision)
            continue;
        if (const auto* refusal = std::get_if<RefuseAction>(&*waiter->decision))
            throw errorOf(*refusal);
        const auto& dispatch = std::get<DispatchAction>(*waiter->decision);
        co_return std::make_unique<AdmissionSlot>(*this, pool, request, pool->servers.at(dispatch.server), dispatch.priority);
    }
}

void SharedAdmissionControl::report(TimePoint now, const BackendServerId& server, const LoadReport& report)
{
    const std::scoped_lock lock(lock_);
    for (const auto& [route, pool] : pools_) {
        for (BackendPool::Index index = 0; index < pool->servers.size(); ++index) {
            if (pool->servers[index] == server)
                pool->control.pool().report(now, index, report);
        }
        deliver(pool->control.advance(now));
    }
}

void SharedAdmissionControl::advance(TimePoint now)
{
    const std::scoped_lock lock(lock_);
    for (const auto& [route, pool] : pools_)
        deliver(pool->control.advance(now));
}

std::size_t SharedAdmissionControl::waiting() const
{
    const std::scoped_lock lock(lock_);
    std::size_t count = 0;
    for (const auto& [route, pool] : pools_)
        count += pool->control.waiting();
    return count;
}

SharedAdmissionControl::PoolPointer SharedAdmissionControl::poolFor(const RouteId& route, const SnapshotPointer& snapshot, const MembershipPointer& membership)
{
    auto& pool = pools_[route];
    // A request with an older snapshot must not bring back backend servers that were removed since.
    if (!pool || pool->revision < snapshot->revision()) {
        const auto servers = localServers(*snapshot, route, here_.dataCentre);
        if (pool && pool->servers != servers)
            requeueWaiters(*pool);
        if (!pool || pool->servers != servers)
            pool = makePool(servers);
        pool->revision = snapshot->revision();
    }
    if (!isEquivalentForPool(pool->membership, membership))
        applyMembership(*pool, membership);
    return pool;
}

SharedAdmissionControl::PoolPointer SharedAdmissionControl::makePool(const std::vector<BackendServerId>& servers) const
{
    AdmissionControl control(BackendPool(servers, initialLimit, maxLimit), std::make_unique<PrefixAffinityStrategy>(loadFactor), {});
    return std::make_shared<AdmissionSlot::Pool>(AdmissionSlot::Pool { Revision(0), servers, std::move(control), nullptr });
}

void SharedAdmissionControl::applyMembership(AdmissionSlot::Pool& pool, const MembershipPointer& membership) const
{
    pool.membership = membership;
    auto& servers = pool.control.pool();
    for (BackendPool::Index index = 0; index < servers.size(); ++index) {
        servers.setAvailable(index, !membership->leavingBackendServers.contains(servers.id(index)));
        servers.setPrimary(index, isPrimaryOf(servers.id(index), here_, *membership));
    }
}

void SharedAdmissionControl::deliver(const std::vector<AdmissionAction>& actions)
{
    for (const auto& action : actions) {
        const auto* dispatch = std::get_if<DispatchAction>(&action);
        const auto request = dispatch ? dispatch->request : std::get<RefuseAction>(action).request;
        const auto found = waiters_.extract(request.count());
        if (found.empty())
            continue;
        const auto& waiter = found.mapped();
        waiter->decision = action;
        Asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    }
}

// Makes the requests that wait in this pool queue again, in the pool that replaces it.
void SharedAdmissionControl::requeueWaiters(const AdmissionSlot::Pool& pool)
{
    for (auto entry = waiters_.begin(); entry != waiters_.end();) {
        const auto waiter = entry->second;
        if (waiter->pool.get() != &pool) {
            ++entry;
            continue;
        }
        waiter->mustRequeue = true;
        Asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
        entry = waiters_.erase(entry);
    }
}

void SharedAdmissionControl::abandon(const PoolPointer& pool, RequestId request, const WaiterPointer& waiter)
{
    const std::scoped_lock lock(lock_);
    waiters_.erase(request.count());
    if (waiter->decision && std::holds_alternative<DispatchAction>(*waiter->decision))
        deliver(pool->control.finish(SteadyClock().now(), request, {}, ServiceSignal::Unknown));
    else
        pool->control.cancel(request);
}

void SharedAdmissionControl::finish(const PoolPointer& pool, RequestId request, Duration firstToken, ServiceSignal signal)
{
    const std::scoped_lock lock(lock_);
    deliver(pool->control.finish(SteadyClock().now(), request, firstToken, signal));
}

} // namespace Ibisturn
