#include <LibHTTP/Backends/SharedHealthTable.h>

#include <mutex>

namespace Ibisturn {

namespace {

template <typename Id>
void record(HealthTable<Id>& table, const Id& id, AttemptEvidence evidence, TimePoint now)
{
    switch (evidence) {
    case AttemptEvidence::Nothing:
        return table.recordInconclusive(id);
    case AttemptEvidence::Success:
        return table.recordSuccess(id, now);
    case AttemptEvidence::Failure:
        return table.recordFailure(id, now);
    case AttemptEvidence::Leaving:
        return table.recordLeaving(id, now);
    }
}

} // namespace

void SharedHealthTable::recordRequest(TimePoint now)
{
    const std::scoped_lock lock(lock_);
    budget_.recordRequest(now);
    backendServers_.evictExpired(now);
    instances_.evictExpired(now);
}

bool SharedHealthTable::takeRetry(TimePoint now)
{
    const std::scoped_lock lock(lock_);
    return budget_.takeRetry(now);
}

void SharedHealthTable::recordDispatch(const Place& place)
{
    const std::scoped_lock lock(lock_);
    if (const auto* here = std::get_if<RunHere>(&place))
        backendServers_.recordDispatch(here->backendServer);
    if (const auto* forward = std::get_if<ForwardTo>(&place))
        instances_.recordDispatch(forward->instance);
}

void SharedHealthTable::recordEvidence(const Place& place, AttemptEvidence evidence, TimePoint now)
{
    const std::scoped_lock lock(lock_);
    if (const auto* here = std::get_if<RunHere>(&place))
        record(backendServers_, here->backendServer, evidence, now);
    if (const auto* forward = std::get_if<ForwardTo>(&place))
        record(instances_, forward->instance, evidence, now);
}

void SharedHealthTable::recordLeaving(const BackendServerId& server, TimePoint now)
{
    const std::scoped_lock lock(lock_);
    backendServers_.recordLeaving(server, now);
}

MembershipPointer SharedHealthTable::withoutUnhealthy(const MembershipPointer& view, const Snapshot& snapshot, const RouteId& route, const RequestLifecycle& lifecycle,
    TimePoint now) const
{
    const std::scoped_lock lock(lock_);
    const bool allHealthy = backendServers_.isEmpty() && instances_.isEmpty() && lifecycle.failedBackendServers().empty() && lifecycle.failedInstances().empty();
    if (allHealthy)
        return view;
    auto usable = std::make_shared<MembershipView>(*view);
    for (const auto& id : snapshot.backendServersOf(route)) {
        if (!backendServers_.canUse(id, now) || lifecycle.failedBackendServers().contains(id))
            usable->leavingBackendServers.insert(id);
    }
    for (auto& member : usable->instances) {
        if (!instances_.canUse(member.id, now) || lifecycle.failedInstances().contains(member.id))
            member.state = MemberState::Leaving;
    }
    return usable;
}

} // namespace Ibisturn
