#include <LibPeer/ControlMessages.h>

#include <utility>

namespace Ibisturn {

namespace {

std::int64_t nanoseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

TimePoint timePoint(std::int64_t nanoseconds)
{
    return TimePoint(Duration(nanoseconds));
}

template <typename Enum>
Enum decodeEnum(std::uint8_t number, Enum last)
{
    if (number > static_cast<std::uint8_t>(last))
        throw Error(ResultCode::MalformedFrame, Ran::No, "A control message has an enum value that is out of range");
    return static_cast<Enum>(number);
}

PeerMessage encode(const SendHeartbeat& action)
{
    const auto& heartbeat = action.heartbeat;
    HeartbeatMessage message { static_cast<std::uint8_t>(heartbeat.kind), heartbeat.incarnation.count(), nanoseconds(heartbeat.sentAt),
        heartbeat.echoIncarnation.count(), nanoseconds(heartbeat.echo), heartbeat.revision.count(), heartbeat.storeAge.count(),
        static_cast<std::uint8_t>(heartbeat.readiness), static_cast<std::uint8_t>(heartbeat.updateRequest), static_cast<std::uint8_t>(heartbeat.state), {} };
    for (const auto& withdrawal : heartbeat.withdrawals)
        message.withdrawals.push_back({ withdrawal.key, withdrawal.expected.count(), withdrawal.id, withdrawal.who, withdrawal.when });
    return message;
}

std::vector<RecordChangeMessage> encode(const std::vector<RecordChange>& changes)
{
    std::vector<RecordChangeMessage> messages;
    messages.reserve(changes.size());
    for (const auto& change : changes)
        messages.push_back({ change.key, !change.value, change.value.value_or(""), change.revision.count() });
    return messages;
}

std::vector<RecordChange> decode(const std::vector<RecordChangeMessage>& messages)
{
    std::vector<RecordChange> changes;
    changes.reserve(messages.size());
    for (const auto& message : messages) {
        auto value = message.isDeleted ? std::nullopt : std::optional<std::string>(message.value);
        changes.push_back({ message.key, std::move(value), Revision(message.revision) });
    }
    return changes;
}

PeerMessage encode(const SendUpdate& action)
{
    const auto& update = action.update;
    return ConfigurationUpdateMessage { static_cast<std::uint8_t>(update.kind), update.from.count(), update.to.count(), encode(update.changes) };
}

PeerMessage encode(const SendPeerStatus& action)
{
    const auto& status = action.status;
    PeerStatusMessage message;
    message.incarnation = status.incarnation.count();
    message.state = static_cast<std::uint8_t>(status.state);
    message.heardAgo = status.lastReceivedAgo ? status.lastReceivedAgo->count() : -1;
    message.runsFor = status.uptime.count();
    for (const auto& demand : status.demands)
        message.demands.push_back({ demand.workspace.value(), demand.demand.count(), demand.used.count() });
    for (const auto& load : status.loads)
        message.loads.push_back({ load.server.value(), load.requests, load.urgentBacklog.count(), load.backlog.count(), load.reservedTokens.count() });
    for (const auto& estimate : status.waitEstimates)
        message.outlooks.push_back({ estimate.service.value(), estimate.urgentWait.count(), estimate.wait.count(), estimate.millisecondsPerToken });
    for (const auto& revision : status.requestAfter)
        message.wishAfter.push_back(revision.count());
    message.changes = encode(status.changes);
    if (status.storeView)
        message.changesView = static_cast<std::int8_t>(*status.storeView);
    return message;
}

ControlEvent decode(const HeartbeatMessage& message)
{
    ControlHeartbeat heartbeat;
    heartbeat.kind = decodeEnum(message.kind, HeartbeatKind::Reply);
    heartbeat.incarnation = Incarnation(message.incarnation);
    heartbeat.sentAt = timePoint(message.sentAt);
    heartbeat.echoIncarnation = Incarnation(message.echoIncarnation);
    heartbeat.echo = timePoint(message.echo);
    heartbeat.revision = Revision(message.revision);
    heartbeat.storeAge = Duration(message.storeAge);
    heartbeat.readiness = decodeEnum(message.readiness, Readiness::Rechecking);
    heartbeat.updateRequest = decodeEnum(message.wish, UpdateRequest::Full);
    heartbeat.state = decodeEnum(message.state, MemberState::Leaving);
    for (const auto& withdrawal : message.withdrawals)
        heartbeat.withdrawals.push_back({ withdrawal.key, Revision(withdrawal.seen), withdrawal.id, withdrawal.who, withdrawal.when });
    return heartbeat;
}

ControlEvent decode(const ConfigurationUpdateMessage& message)
{
    return ConfigurationUpdate { decodeEnum(message.kind, UpdateKind::Full), Revision(message.from), Revision(message.to), decode(message.changes) };
}

ControlEvent decode(const PeerStatusMessage& message)
{
    PeerStatus status;
    status.incarnation = Incarnation(message.incarnation);
    status.state = decodeEnum(message.state, MemberState::Leaving);
    if (message.heardAgo >= 0)
        status.lastReceivedAgo = Duration(message.heardAgo);
    status.uptime = Duration(message.runsFor);
    for (const auto& demand : message.demands)
        status.demands.push_back({ WorkspaceId(demand.workspace), TokensPerSecond(demand.tokensPerSecond), TokenCount(demand.used) });
    for (const auto& load : message.loads)
        status.loads.push_back({ BackendServerId(load.server), load.requests, TokenCount(load.urgentBacklog), TokenCount(load.backlog), TokenCount(load.held) });
    for (const auto& estimate : message.outlooks)
        status.waitEstimates.push_back({ ServiceId(estimate.service), Duration(estimate.urgentWait), Duration(estimate.wait), estimate.millisecondsPerToken });
    for (const auto revision : message.wishAfter)
        status.requestAfter.push_back(Revision(revision));
    status.changes = decode(message.changes);
    if (message.changesView >= 0)
        status.storeView = decodeEnum(static_cast<std::uint8_t>(message.changesView), StoreView::Partial);
    return status;
}

} // namespace

PeerMessage toPeerMessage(const PeerAction& action)
{
    return std::visit([](const auto& message) { return encode(message); }, action);
}

std::optional<ControlEvent> toControlEvent(const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message))
        return decode(*heartbeat);
    if (const auto* update = std::get_if<ConfigurationUpdateMessage>(&message))
        return decode(*update);
    if (const auto* status = std::get_if<PeerStatusMessage>(&message))
        return decode(*status);
    return std::nullopt;
}

} // namespace Ibisturn
