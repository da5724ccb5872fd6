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

template <typename Choice>
Choice choice(std::uint8_t number, Choice last)
{
    if (number > static_cast<std::uint8_t>(last))
        throw Error(ResultCode::MalformedFrame, Ran::No, "A control message has a choice that is out of range");
    return static_cast<Choice>(number);
}

PeerMessage encode(const SendHeartbeat& action)
{
    const auto& heartbeat = action.heartbeat;
    HeartbeatMessage message { static_cast<std::uint8_t>(heartbeat.kind), heartbeat.incarnation.count(), nanoseconds(heartbeat.sentAt),
        heartbeat.echoIncarnation.count(), nanoseconds(heartbeat.echo), heartbeat.revision.count(), heartbeat.storeAge.count(),
        static_cast<std::uint8_t>(heartbeat.readiness), static_cast<std::uint8_t>(heartbeat.wish), static_cast<std::uint8_t>(heartbeat.state), {} };
    for (const auto& withdrawal : heartbeat.withdrawals)
        message.withdrawals.push_back({ withdrawal.key, withdrawal.seen.count(), withdrawal.id, withdrawal.who, withdrawal.when });
    return message;
}

PeerMessage encode(const SendUpdate& action)
{
    const auto& update = action.update;
    ConfigurationUpdateMessage message { static_cast<std::uint8_t>(update.kind), update.from.count(), update.to.count(), {} };
    for (const auto& change : update.changes)
        message.changes.push_back({ change.key, !change.value, change.value.value_or(""), change.revision.count() });
    return message;
}

ControlEvent decode(const HeartbeatMessage& message)
{
    ControlHeartbeat heartbeat;
    heartbeat.kind = choice(message.kind, HeartbeatKind::Reply);
    heartbeat.incarnation = Incarnation(message.incarnation);
    heartbeat.sentAt = timePoint(message.sentAt);
    heartbeat.echoIncarnation = Incarnation(message.echoIncarnation);
    heartbeat.echo = timePoint(message.echo);
    heartbeat.revision = Revision(message.revision);
    heartbeat.storeAge = Duration(message.storeAge);
    heartbeat.readiness = choice(message.readiness, Readiness::Rechecking);
    heartbeat.wish = choice(message.wish, UpdateWish::Full);
    heartbeat.state = choice(message.state, MemberState::Leaving);
    for (const auto& withdrawal : message.withdrawals)
        heartbeat.withdrawals.push_back({ withdrawal.key, Revision(withdrawal.seen), withdrawal.id, withdrawal.who, withdrawal.when });
    return heartbeat;
}

ControlEvent decode(const ConfigurationUpdateMessage& message)
{
    ConfigurationUpdate update { choice(message.kind, UpdateKind::Full), Revision(message.from), Revision(message.to), {} };
    for (const auto& change : message.changes) {
        auto value = change.isDeleted ? std::nullopt : std::optional<std::string>(change.value);
        update.changes.push_back({ change.key, std::move(value), Revision(change.revision) });
    }
    return update;
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
    return std::nullopt;
}

} // namespace Ibisturn
