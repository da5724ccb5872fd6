#include <LibHTTP/Backends/SharedHealthTable.h>

#include <mutex>

namespace Ibisturn {

namespace {

template <typename Id>
void note(HealthTable<Id>& table, const Id& id, AttemptEvidence evidence, TimePoint now)
{
    switch (evidence) {
    case AttemptEvidence::Nothing:
        return table.noteNothing(id);
    case AttemptEvidence::Success:
        return table.noteSuccess(id, now);
    case AttemptEvidence::Failure:
        return table.noteFailure(id, now);
    case AttemptEvidence::Leaving:
        return table.noteLeaving(id, now);
    }
}

} // namespace

void SharedHealthTable::noteRequest(TimePoint now)
{
    const std::scoped_lock lock(lock_);
    budget_.noteRequest(now);
    backendServers_.forgetOld(now);
    instances_.forgetOld(now);
}

bool SharedHealthTable::takeRetry(TimePoint now)
{
    const std::scoped_lock lock(lock_);
    return budget_.takeRetry(now);
}

void SharedHealthTable::noteDispatch(const Place& place)
{
    const std::scoped_lock lock(lock_);
    if (const auto* here = std::get_if<RunHere>(&place))
        backendServers_.noteDispatch(here->backendServer);
    if (const auto* forward = std::get_if<ForwardTo>(&place))
        instances_.noteDispatch(forward->instance);
}

void SharedHealthTable::noteEvidence(const Place& place, AttemptEvidence evidence, TimePoint now)
{
    const std::scoped_lock lock(lock_);
    if (const auto* here = std::get_if<RunHere>(&place))
        note(backendServers_, here->backendServer, evidence, now);
    if (const auto* forward = std::get_if<ForwardTo>(&place))
        note(instances_, forward->instance, evidence, now);
}

void SharedHealthTable::noteLeaving(const BackendServerId& server, TimePoint now)
{
    const std::scoped_lock lock(lock_);
    backendServers_.noteLeaving(server, now);
}

MembershipPointer SharedHealthTable::withoutTroubled(const MembershipPointer& view, const Snapshot& snapshot, const RouteId& route, const RequestLife& life,
    TimePoint now) const
{
    const std::scoped_lock lock(lock_);
    const bool allWell = backendServers_.isEmpty() && instances_.isEmpty() && life.failedBackendServers().empty() && life.failedInstances().empty();
    if (allWell)
        return view;
    auto usable = std::make_shared<MembershipView>(*view);
    for (const auto& id : snapshot.backendServersOf(route)) {
        if (!backendServers_.mayUse(id, now) || life.failedBackendServers().contains(id))
            usable->leavingBackendServers.insert(id);
    }
    for (auto& member : usable->instances) {
        if (!instances_.mayUse(member.id, now) || life.failedInstances().contains(member.id))
            member.state = MemberState::Leaving;
    }
    return usable;
}

} // namespace Ibisturn
