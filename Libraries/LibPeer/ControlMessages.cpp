#include <LibPeer/ControlMessages.h>

#include <LibDecision/Streams/StreamNoteLog.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::size_t noteKeyBytes = 8;
constexpr std::size_t bitsPerByte = 8;
/// The ages of notes that are passed on fit into a byte.
constexpr Duration noteAgeUnit = std::chrono::milliseconds(32);
constexpr Duration::rep maxNoteAgeUnits = 255;
static_assert(noteAgeUnit * maxNoteAgeUnits >= StreamNoteLog::maxAge);

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
        heartbeat.echoIncarnation.count(), nanoseconds(heartbeat.echo), heartbeat.revision.number(), heartbeat.storeAge.count(),
        static_cast<std::uint8_t>(heartbeat.readiness), static_cast<std::uint8_t>(heartbeat.updateRequest), static_cast<std::uint8_t>(heartbeat.state), {} };
    for (const auto& withdrawal : heartbeat.withdrawals)
        message.withdrawals.push_back({ withdrawal.key, withdrawal.expected.number(), withdrawal.id, withdrawal.who, withdrawal.when });
    return message;
}

std::vector<RecordChangeMessage> encode(const std::vector<RecordChange>& changes)
{
    std::vector<RecordChangeMessage> messages;
    messages.reserve(changes.size());
    for (const auto& change : changes)
        messages.push_back({ change.key, !change.value, change.value.value_or(""), change.revision.number(), change.revision.era().count() });
    return messages;
}

std::vector<RecordChange> decode(const std::vector<RecordChangeMessage>& messages)
{
    std::vector<RecordChange> changes;
    changes.reserve(messages.size());
    for (const auto& message : messages) {
        auto value = message.isDeleted ? std::nullopt : std::optional<std::string>(message.value);
        changes.push_back({ message.key, std::move(value), Revision(message.revision, StoreEra(message.era)) });
    }
    return changes;
}

PeerMessage encode(const SendUpdate& action)
{
    const auto& update = action.update;
    return ConfigurationUpdateMessage { static_cast<std::uint8_t>(update.kind), update.from.number(), update.to.number(), encode(update.changes) };
}

std::int64_t encode(const std::optional<Duration>& duration)
{
    return duration ? duration->count() : -1;
}

std::optional<Duration> decodeDuration(std::int64_t nanoseconds)
{
    return nanoseconds < 0 ? std::nullopt : std::optional(Duration(nanoseconds));
}

std::vector<std::int64_t> numbersOf(const std::vector<Revision>& revisions)
{
    std::vector<std::int64_t> numbers;
    numbers.reserve(revisions.size());
    for (const auto revision : revisions)
        numbers.push_back(revision.number());
    return numbers;
}

std::vector<std::int64_t> erasOf(const std::vector<Revision>& revisions)
{
    std::vector<std::int64_t> eras;
    eras.reserve(revisions.size());
    for (const auto revision : revisions)
        eras.push_back(revision.era().count());
    return eras;
}

std::vector<Revision> decode(const std::vector<std::int64_t>& numbers, const std::vector<std::int64_t>& eras)
{
    std::vector<Revision> revisions;
    revisions.reserve(numbers.size());
    for (std::size_t index = 0; index < numbers.size(); ++index)
        revisions.emplace_back(numbers[index], index < eras.size() ? StoreEra(eras[index]) : StoreEra());
    return revisions;
}

std::vector<AllowanceDemandMessage> encode(const std::vector<AllowanceDemand>& demands)
{
    std::vector<AllowanceDemandMessage> messages;
    messages.reserve(demands.size());
    for (const auto& demand : demands)
        messages.push_back({ demand.workspace.value(), demand.demand.count(), demand.used.count() });
    return messages;
}

std::vector<AllowanceDemand> decode(const std::vector<AllowanceDemandMessage>& messages)
{
    std::vector<AllowanceDemand> demands;
    demands.reserve(messages.size());
    for (const auto& message : messages)
        demands.push_back({ WorkspaceId(message.workspace), TokensPerSecond(message.tokensPerSecond), TokenCount(message.used) });
    return demands;
}

std::vector<ServerLoadMessage> encode(const std::vector<InstanceLoad>& loads)
{
    std::vector<ServerLoadMessage> messages;
    messages.reserve(loads.size());
    for (const auto& load : loads)
        messages.push_back({ load.server.value(), load.requests, load.urgentBacklog.count(), load.backlog.count(), load.reservedTokens.count() });
    return messages;
}

std::vector<InstanceLoad> decode(const std::vector<ServerLoadMessage>& messages)
{
    std::vector<InstanceLoad> loads;
    loads.reserve(messages.size());
    for (const auto& message : messages)
        loads.push_back({ BackendServerId(message.server), message.requests, TokenCount(message.urgentBacklog), TokenCount(message.backlog), TokenCount(message.held) });
    return loads;
}

CrashEvidenceMessage encode(const CrashEvidence& evidence)
{
    CrashEvidenceMessage message;
    for (const auto& crash : evidence.crashes)
        message.crashes.push_back({ crash.part.service.value(), crash.part.part, crash.server.value(), crash.started.count(), crash.request, crash.age.count() });
    for (const auto& answer : evidence.answers)
        message.answers.push_back({ answer.part.service.value(), answer.part.part, answer.age.count() });
    return message;
}

CrashEvidence decode(const CrashEvidenceMessage& message)
{
    CrashEvidence evidence;
    for (const auto& crash : message.crashes)
        evidence.crashes.push_back({ { ServiceId(crash.service), crash.part }, BackendServerId(crash.server), StartTime(crash.started), crash.request, Duration(crash.age) });
    for (const auto& answer : message.answers)
        evidence.answers.push_back({ { ServiceId(answer.service), answer.part }, Duration(answer.age) });
    return evidence;
}

void appendKey(std::string& bytes, StreamKey key)
{
    for (std::size_t index = 0; index < noteKeyBytes; ++index)
        bytes += static_cast<char>((key.count() >> (bitsPerByte * (noteKeyBytes - 1 - index))) & 0xff);
}

StreamKey keyAt(std::string_view bytes, std::size_t number)
{
    std::uint64_t key = 0;
    for (const auto byte : bytes.substr(number * noteKeyBytes, noteKeyBytes))
        key = (key << bitsPerByte) | static_cast<unsigned char>(byte);
    return StreamKey(key);
}

// Most notes have one of a few origins, and those of one origin often follow each other.
std::vector<StreamNotesMessage> encode(const std::vector<StreamNote>& notes)
{
    std::vector<StreamNotesMessage> messages;
    std::size_t last = 0;
    for (const auto& note : notes) {
        const auto isSame = [&note](const StreamNotesMessage& message) { return message.version == note.origin.version.value() && message.service == note.origin.service.value(); };
        if (messages.empty() || !isSame(messages[last]))
            last = static_cast<std::size_t>(std::find_if(messages.begin(), messages.end(), isSame) - messages.begin());
        if (last == messages.size())
            messages.push_back({ note.origin.service.value(), note.origin.version.value(), {}, {} });
        appendKey(messages[last].keys, note.key);
        messages[last].ages += static_cast<char>(std::min<Duration::rep>(note.age / noteAgeUnit, maxNoteAgeUnits));
    }
    return messages;
}

std::vector<StreamNote> decode(const std::vector<StreamNotesMessage>& messages)
{
    std::vector<StreamNote> notes;
    for (const auto& message : messages) {
        if (message.keys.size() != message.ages.size() * noteKeyBytes)
            throw Error(ResultCode::MalformedFrame, Ran::No, "A control message has notes of streams without keys or ages");
        const StreamOrigin origin { ServiceId(message.service), SoftwareVersion(message.version) };
        for (std::size_t index = 0; index < message.ages.size(); ++index)
            notes.push_back({ keyAt(message.keys, index), origin, noteAgeUnit * static_cast<unsigned char>(message.ages[index]) });
    }
    return notes;
}

RegionDigestMessage encode(const RegionDigest& digest)
{
    RegionDigestMessage message { digest.region.value(), digest.instances, digest.uptime.count(), encode(digest.demands), {}, {}, {}, encode(digest.evidence) };
    for (const auto& estimate : digest.waitEstimates)
        message.waitEstimates.push_back({ estimate.service.value(), estimate.urgentWait.count(), estimate.wait.count(), estimate.millisecondsPerToken });
    for (const auto& leaving : digest.leaving)
        message.leaving.push_back({ leaving.instance.value(), leaving.incarnation.count() });
    for (const auto& instance : digest.unlisted)
        message.unlisted.push_back(instance.value());
    return message;
}

RegionDigest decode(const RegionDigestMessage& message)
{
    RegionDigest digest { RegionId(message.region), message.instances, Duration(message.uptime), decode(message.demands), {}, {}, {}, decode(message.evidence) };
    for (const auto& estimate : message.waitEstimates)
        digest.waitEstimates.push_back({ ServiceId(estimate.service), Duration(estimate.urgentWait), Duration(estimate.wait), estimate.millisecondsPerToken });
    for (const auto& leaving : message.leaving)
        digest.leaving.push_back({ InstanceId(leaving.instance), Incarnation(leaving.incarnation) });
    for (const auto& instance : message.unlisted)
        digest.unlisted.emplace_back(instance);
    return digest;
}

PeerMessage encode(const SendReport& action)
{
    const auto& report = action.report;
    return InstanceReportMessage { report.incarnation.count(), report.number.count(), static_cast<std::uint8_t>(report.state), report.uptime.count(),
        encode(report.lastDigestAgo), encode(report.demands), encode(report.loads), encode(report.evidence), encode(report.notes),
        report.confirmedDigest ? static_cast<std::int64_t>(report.confirmedDigest->count()) : -1 };
}

PeerMessage encode(const SendDigest& action)
{
    const auto& digest = action.digest;
    FleetDigestMessage message { digest.report.count(), digest.isCounted, encode(digest.own), encode(digest.loads), {}, digest.store.isFollowing,
        encode(digest.store.age), numbersOf(digest.store.positions), erasOf(digest.store.positions), encode(digest.notes) };
    for (const auto& other : digest.others)
        message.others.push_back(encode(other));
    return message;
}

PeerMessage encode(const SendExchange& action)
{
    const auto& exchange = action.exchange;
    return RegionExchangeMessage { exchange.incarnation.count(), exchange.number.count(), exchange.isReply, encode(exchange.lastReceivedAgo), encode(exchange.digest),
        encode(exchange.notes), exchange.confirmedExchange.count() };
}

PeerMessage encode(const SendStoreUpdate& action)
{
    const auto& update = action.update;
    StoreUpdateMessage message { numbersOf(update.requestAfter), encode(update.changes), numbersOf(update.positions), -1, update.listedPrefixes, update.existingKeys,
        erasOf(update.requestAfter), erasOf(update.positions) };
    if (update.view)
        message.view = static_cast<std::int8_t>(*update.view);
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

ControlEvent decode(const InstanceReportMessage& message)
{
    return InstanceReport { Incarnation(message.incarnation), StatusNumber(message.number), decodeEnum(message.state, MemberState::Leaving), Duration(message.uptime),
        decodeDuration(message.lastDigestAgo), decode(message.demands), decode(message.loads), decode(message.evidence), decode(message.notes),
        message.confirmedDigest < 0 ? std::nullopt : std::optional(StatusNumber(static_cast<std::uint64_t>(message.confirmedDigest))) };
}

ControlEvent decode(const FleetDigestMessage& message)
{
    FleetDigest digest { StatusNumber(message.report), message.isCounted, decode(message.own), decode(message.loads), {}, { message.isFollowingStore, decodeDuration(message.storeAge), decode(message.storePositions, message.storeEras) }, decode(message.notes) };
    for (const auto& other : message.others)
        digest.others.push_back(decode(other));
    return digest;
}

ControlEvent decode(const RegionExchangeMessage& message)
{
    return RegionExchange { Incarnation(message.incarnation), StatusNumber(message.number), message.isReply, decodeDuration(message.lastReceivedAgo), decode(message.digest),
        decode(message.notes), StatusNumber(message.confirmedExchange) };
}

ControlEvent decode(const StoreUpdateMessage& message)
{
    StoreUpdate update { decode(message.requestAfter, message.requestEras), decode(message.changes), decode(message.positions, message.positionEras), std::nullopt, message.listedPrefixes, message.existingKeys };
    if (message.view >= 0)
        update.view = decodeEnum(static_cast<std::uint8_t>(message.view), StoreView::Partial);
    return update;
}

template <typename Message>
std::optional<ControlEvent> decodeIf(const PeerMessage& message)
{
    const auto* known = std::get_if<Message>(&message);
    return known ? std::optional(decode(*known)) : std::nullopt;
}

} // namespace

PeerMessage toPeerMessage(const PeerAction& action)
{
    return std::visit([](const auto& message) { return encode(message); }, action);
}

std::optional<ControlEvent> toControlEvent(const PeerMessage& message)
{
    std::optional<ControlEvent> event;
    for (const auto decodeMessage : { decodeIf<HeartbeatMessage>, decodeIf<ConfigurationUpdateMessage>, decodeIf<StoreUpdateMessage>, decodeIf<InstanceReportMessage>, decodeIf<FleetDigestMessage>, decodeIf<RegionExchangeMessage> }) {
        event = decodeMessage(message);
        if (event)
            break;
    }
    return event;
}

} // namespace Ibisturn
