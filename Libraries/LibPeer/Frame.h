#pragma once

#include <LibCore/Error.h>
#include <LibCore/Quantity.h>
#include <LibCore/Revision.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace Ibisturn {

/// The frame version that this program writes.
constexpr std::uint8_t frameVersion = 1;

/// Size of the big-endian length prefix of each frame.
constexpr std::size_t frameLengthBytes = 4;

/// First message of each side of a connection. It identifies the sender; the frame carries the connection's incarnation.
struct HelloMessage {
    std::string instance;
    std::string region;
    std::string dataCentre;
    std::int64_t revision { 0 };
    MSGPACK_DEFINE(instance, region, dataCentre, revision)
};

struct HeaderMessage {
    std::string name;
    std::string value;
    MSGPACK_DEFINE(name, value)
};

/// See PromptPart.
struct PromptPartMessage {
    std::uint64_t id { 0 };
    std::int64_t tokens { 0 };
    MSGPACK_DEFINE(id, tokens)
};

/// See RoutedRequest.
struct RoutedRequestMessage {
    std::string service;
    std::string callerId;
    std::string host;
    std::vector<HeaderMessage> headers;
    std::vector<PromptPartMessage> prompt;
    std::int64_t promptTokens { 0 };
    std::int64_t mostAnswerTokens { 0 };
    std::uint32_t priority { 0 };
    std::uint64_t targetMilliseconds { 0 };
    bool canResume { false };
    /// Whether the sender tells the home regions; one of an older version does not.
    bool tellsHomeRegions { false };
    /// Whether `homeRegions` restrict where the request may run.
    bool hasHomeRegions { false };
    std::vector<std::string> homeRegions;
    /// The era of the forwarded request's revision.
    std::int64_t revisionEra { 0 };
    /// The only software version that may run the request; empty if the request begins a stream, and from a sender of an older version.
    std::string requiredVersion;
    MSGPACK_DEFINE(service, callerId, host, headers, prompt, promptTokens, mostAnswerTokens, priority, targetMilliseconds, canResume, tellsHomeRegions, hasHomeRegions, homeRegions, revisionEra,
        requiredVersion)
};

/// A request that one instance forwards to another. It does not contain the caller's key.
struct ForwardMessage {
    std::string workspace;
    std::string route;
    /// Revision of the latest change in the sender's configuration.
    std::int64_t revision { 0 };
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string traceparent;
    std::uint64_t timeoutMilliseconds { 0 };
    std::string body;
    /// Digest of the caller's key, which the receiver checks again; empty on an open route.
    std::string keyDigest;
    /// Number of events of a truncated stream that the caller has received; zero for a request that starts from the beginning.
    std::uint64_t eventsReceived { 0 };
    /// Whether the receiver owns the claim of the idempotency key and is asked for it; otherwise the sender holds the claim.
    bool asksOwner { false };
    /// Has one element for a request on a route with a policy, none otherwise.
    std::vector<RoutedRequestMessage> routed;
    MSGPACK_DEFINE(workspace, route, revision, method, target, contentType, idempotencyKey, traceparent, timeoutMilliseconds, body, keyDigest,
        eventsReceived, asksOwner, routed)
};

/// Status and headers of the answer to a forwarded request.
struct AnswerHeadMessage {
    std::uint32_t status { 0 };
    std::string contentType;
    /// Whether another backend server can resume this answer if it is truncated.
    bool canResume { false };
    std::vector<HeaderMessage> headers;
    /// Total size of all parts in bytes; negative if not known in advance.
    std::int64_t contentLength { -1 };
    /// The software version of the backend server that answers; empty if it is not known, and from a sender of an older version.
    std::string version;
    MSGPACK_DEFINE(status, contentType, canResume, headers, contentLength, version)

    /// Senders of an older version leave out the fields after these.
    static constexpr std::uint32_t requiredFields = 5;
};

/// One part of the answer; parts are sent in order.
struct AnswerPartMessage {
    std::string part;
    MSGPACK_DEFINE(part)
};

/// Marks the answer as complete.
struct AnswerEndMessage {
    std::uint8_t reserved { 0 };
    MSGPACK_DEFINE(reserved)
};

/// Reports that the request failed and whether it may have run.
struct FailureMessage {
    std::uint16_t code { 0 };
    std::uint8_t ran { 0 };
    std::string text;
    MSGPACK_DEFINE(code, ran, text)
};

/// A withdrawal that may not be in the store yet; see EmergencyWithdrawal.
struct WithdrawalMessage {
    std::string key;
    std::int64_t seen { 0 };
    std::string id;
    std::string who;
    std::string when;
    MSGPACK_DEFINE(key, seen, id, who, when)
};

/// The state that an instance reports to a peer; see ControlHeartbeat. Times are nanoseconds of the sender's own clock.
struct HeartbeatMessage {
    std::uint8_t kind { 0 };
    std::uint64_t incarnation { 0 };
    std::int64_t sentAt { 0 };
    std::uint64_t echoIncarnation { 0 };
    std::int64_t echo { 0 };
    std::int64_t revision { 0 };
    std::int64_t storeAge { 0 };
    std::uint8_t readiness { 0 };
    std::uint8_t wish { 0 };
    std::uint8_t state { 0 };
    std::vector<WithdrawalMessage> withdrawals;
    MSGPACK_DEFINE(kind, incarnation, sentAt, echoIncarnation, echo, revision, storeAge, readiness, wish, state, withdrawals)
};

/// One record's change; see RecordChange.
struct RecordChangeMessage {
    std::string key;
    bool isDeleted { false };
    std::string value;
    std::int64_t revision { 0 };
    /// The era of the revision; peers of an older version know only the first.
    std::int64_t era { 0 };
    MSGPACK_DEFINE(key, isDeleted, value, revision, era)
};

/// The changes that bring the receiver's records to a later revision; see ConfigurationUpdate.
struct ConfigurationUpdateMessage {
    std::uint8_t kind { 0 };
    std::int64_t from { 0 };
    std::int64_t to { 0 };
    std::vector<RecordChangeMessage> changes;
    MSGPACK_DEFINE(kind, from, to, changes)
};

/// See AllowanceDemand.
struct AllowanceDemandMessage {
    std::string workspace;
    double tokensPerSecond { 0 };
    std::int64_t used { 0 };
    MSGPACK_DEFINE(workspace, tokensPerSecond, used)
};

/// See InstanceLoad.
struct ServerLoadMessage {
    std::string server;
    std::uint32_t requests { 0 };
    std::int64_t urgentBacklog { 0 };
    std::int64_t backlog { 0 };
    std::int64_t held { 0 };
    MSGPACK_DEFINE(server, requests, urgentBacklog, backlog, held)
};

/// See RegionWaitEstimate; times are nanoseconds.
struct RegionWaitEstimateMessage {
    std::string service;
    std::int64_t urgentWait { 0 };
    std::int64_t wait { 0 };
    double millisecondsPerToken { 0 };
    MSGPACK_DEFINE(service, urgentWait, wait, millisecondsPerToken)
};

/// See StoreUpdate; a negative number means that a value is absent.
struct StoreUpdateMessage {
    std::vector<std::int64_t> requestAfter;
    std::vector<RecordChangeMessage> changes;
    std::vector<std::int64_t> positions;
    std::int8_t view { -1 };
    std::vector<std::uint32_t> listedPrefixes;
    std::vector<std::string> existingKeys;
    /// The eras of `requestAfter` and of `positions`.
    std::vector<std::int64_t> requestEras;
    std::vector<std::int64_t> positionEras;
    MSGPACK_DEFINE(requestAfter, changes, positions, view, listedPrefixes, existingKeys, requestEras, positionEras)
};

/// See CrashReport; the age is nanoseconds.
struct CrashReportMessage {
    std::string service;
    std::uint64_t part { 0 };
    std::string server;
    std::int64_t started { 0 };
    std::uint64_t request { 0 };
    std::int64_t age { 0 };
    MSGPACK_DEFINE(service, part, server, started, request, age)
};

/// See AnswerReport; the age is nanoseconds.
struct AnswerReportMessage {
    std::string service;
    std::uint64_t part { 0 };
    std::int64_t age { 0 };
    MSGPACK_DEFINE(service, part, age)
};

/// See CrashEvidence.
struct CrashEvidenceMessage {
    std::vector<CrashReportMessage> crashes;
    std::vector<AnswerReportMessage> answers;
    MSGPACK_DEFINE(crashes, answers)
};

/// Notes of streams with the same origin; see StreamNote. Each of them takes nine bytes, since a collector sends thousands a second.
struct StreamNotesMessage {
    std::string service;
    std::string version;
    /// Eight bytes for each note, big-endian.
    std::string keys;
    /// One byte for each note, in units of 32 ms.
    std::string ages;
    MSGPACK_DEFINE(service, version, keys, ages)
};

/// See InstanceReport; times are nanoseconds, and negative numbers mean that a value is absent.
struct InstanceReportMessage {
    std::uint64_t incarnation { 0 };
    std::uint64_t number { 0 };
    std::uint8_t state { 0 };
    std::int64_t uptime { 0 };
    std::int64_t lastDigestAgo { -1 };
    std::vector<AllowanceDemandMessage> demands;
    std::vector<ServerLoadMessage> loads;
    CrashEvidenceMessage evidence;
    /// Peers of an earlier version send neither this nor what follows.
    std::vector<StreamNotesMessage> notes;
    std::int64_t confirmedDigest { -1 };
    static constexpr std::uint32_t requiredFields = 8;
    MSGPACK_DEFINE(incarnation, number, state, uptime, lastDigestAgo, demands, loads, evidence, notes, confirmedDigest)
};

/// See LeavingInstance.
struct LeavingInstanceMessage {
    std::string instance;
    std::uint64_t incarnation { 0 };
    MSGPACK_DEFINE(instance, incarnation)
};

/// See RegionDigest; times are nanoseconds.
struct RegionDigestMessage {
    std::string region;
    std::uint32_t instances { 0 };
    std::int64_t uptime { 0 };
    std::vector<AllowanceDemandMessage> demands;
    std::vector<RegionWaitEstimateMessage> waitEstimates;
    std::vector<LeavingInstanceMessage> leaving;
    std::vector<std::string> unlisted;
    CrashEvidenceMessage evidence;
    MSGPACK_DEFINE(region, instances, uptime, demands, waitEstimates, leaving, unlisted, evidence)
};

/// See FleetDigest and StoreFeedStatus; times are nanoseconds, and negative numbers mean that a value is absent.
struct FleetDigestMessage {
    std::uint64_t report { 0 };
    bool isCounted { false };
    RegionDigestMessage own;
    std::vector<ServerLoadMessage> loads;
    std::vector<RegionDigestMessage> others;
    bool isFollowingStore { false };
    std::int64_t storeAge { -1 };
    std::vector<std::int64_t> storePositions;
    /// The eras of `storePositions`.
    std::vector<std::int64_t> storeEras;
    /// Not sent by peers of an earlier version.
    std::vector<StreamNotesMessage> notes;
    static constexpr std::uint32_t requiredFields = 9;
    MSGPACK_DEFINE(report, isCounted, own, loads, others, isFollowingStore, storeAge, storePositions, storeEras, notes)
};

/// See RegionExchange; times are nanoseconds, and negative numbers mean that a value is absent.
struct RegionExchangeMessage {
    std::uint64_t incarnation { 0 };
    std::uint64_t number { 0 };
    bool isReply { false };
    std::int64_t lastReceivedAgo { -1 };
    RegionDigestMessage digest;
    /// Peers of an earlier version send neither this nor what follows.
    std::vector<StreamNotesMessage> notes;
    std::uint64_t confirmedExchange { 0 };
    static constexpr std::uint32_t requiredFields = 5;
    MSGPACK_DEFINE(incarnation, number, isReply, lastReceivedAgo, digest, notes, confirmedExchange)
};

using PeerMessage = std::variant<HelloMessage, ForwardMessage, AnswerHeadMessage, AnswerPartMessage, AnswerEndMessage, FailureMessage,
    HeartbeatMessage, ConfigurationUpdateMessage, StoreUpdateMessage, InstanceReportMessage, FleetDigestMessage, RegionExchangeMessage>;

/// A message between two instances, with the connection incarnation and request that it belongs to.
struct Frame {
    /// Incarnation of the sender's side of the connection; frames of another incarnation are rejected.
    Incarnation incarnation;
    RequestId request;
    PeerMessage message;
    /// Counts the frames that the sender's side of the connection has sent, from one; zero from peers of an older version.
    std::uint64_t number { 0 };
};

/// Encodes the frame with its length prefix. Thread safety: any thread.
std::string encodeFrame(const Frame& frame);

/// Decodes the length prefix of a frame. Throws Error with FrameTooLarge if it exceeds `limit`.
/// Precondition: `bytes` has at least frameLengthBytes bytes. Thread safety: any thread.
std::size_t decodeFrameLength(std::string_view bytes, std::size_t limit);

/// Which message of which request a frame carries.
struct FrameStart {
    Incarnation incarnation;
    RequestId request;
    bool isForward { false };
    /// See Frame.
    std::uint64_t number { 0 };
};

/// The first bytes of a frame, after its length, that decodeFrameStart() needs at most.
constexpr std::size_t frameStartBytes = 32;

/// Decodes the start of a frame. Throws Error with MalformedFrame or FrameVersionUnknown. Thread safety: any thread.
FrameStart decodeFrameStart(std::string_view bytes);

/// Decodes a frame without its length prefix. Throws Error with MalformedFrame or FrameVersionUnknown.
/// Thread safety: any thread.
Frame decodeFrame(std::string_view bytes);

} // namespace Ibisturn
