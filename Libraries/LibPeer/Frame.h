#pragma once

#include <LibCore/Error.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace Ibisturn {

/// The version of frames that this program writes.
constexpr std::uint8_t frameVersion = 1;

/// Bytes of the big-endian length before each frame.
constexpr std::size_t frameLengthBytes = 4;

/// First frame of each side of a connection: who speaks, and in which life.
struct HelloMessage {
    std::string instance;
    std::string region;
    std::string dataCentre;
    std::int64_t revision { 0 };
    MSGPACK_DEFINE(instance, region, dataCentre, revision)
};

/// A request that one instance hands to another. It holds no key.
struct ForwardMessage {
    std::string workspace;
    std::string route;
    /// Of the latest change in the sender's configuration.
    std::int64_t revision { 0 };
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string traceparent;
    std::uint64_t timeoutMilliseconds { 0 };
    std::string body;
    /// Digest of the caller's key, so that the receiver checks it too; empty on an open route.
    std::string keyDigest;
    /// Events of a cut stream that the caller has; zero for a request that begins anew.
    std::uint64_t eventsReceived { 0 };
    /// Asks the receiver, which owns the claim of the key; otherwise the sender holds the claim.
    bool asksOwner { false };
    MSGPACK_DEFINE(workspace, route, revision, method, target, contentType, idempotencyKey, traceparent, timeoutMilliseconds, body, keyDigest,
        eventsReceived, asksOwner)
};

/// The head of the answer to a forwarded request.
struct AnswerHeadMessage {
    std::uint32_t status { 0 };
    std::string contentType;
    /// Whether a cut of this answer can be resumed elsewhere.
    bool canResume { false };
    MSGPACK_DEFINE(status, contentType, canResume)
};

/// A part of the answer, in order.
struct AnswerPartMessage {
    std::string part;
    MSGPACK_DEFINE(part)
};

/// The answer is whole.
struct AnswerEndMessage {
    std::uint8_t reserved { 0 };
    MSGPACK_DEFINE(reserved)
};

/// The request failed; says whether it may have run.
struct FailureMessage {
    std::uint16_t code { 0 };
    std::uint8_t ran { 0 };
    std::string text;
    MSGPACK_DEFINE(code, ran, text)
};

/// A withdrawal that the store may not have yet; see EmergencyWithdrawal.
struct WithdrawalMessage {
    std::string key;
    std::int64_t seen { 0 };
    std::string id;
    std::string who;
    std::string when;
    MSGPACK_DEFINE(key, seen, id, who, when)
};

/// What an instance tells a peer of itself; see ControlHeartbeat. Times are nanoseconds of the sender's own clock.
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
    MSGPACK_DEFINE(key, isDeleted, value, revision)
};

/// What takes the receiver's records to a later revision; see ConfigurationUpdate.
struct ConfigurationUpdateMessage {
    std::uint8_t kind { 0 };
    std::int64_t from { 0 };
    std::int64_t to { 0 };
    std::vector<RecordChangeMessage> changes;
    MSGPACK_DEFINE(kind, from, to, changes)
};

using PeerMessage = std::variant<HelloMessage, ForwardMessage, AnswerHeadMessage, AnswerPartMessage, AnswerEndMessage, FailureMessage,
    HeartbeatMessage, ConfigurationUpdateMessage>;

/// A message between two instances with what ties it to its request.
struct Frame {
    /// The life of the sender's connection; frames of another life are refused.
    Incarnation incarnation;
    RequestId request;
    PeerMessage message;
};

/// The frame as bytes, with its length in front. Thread safety: any thread.
std::string encodeFrame(const Frame& frame);

/// Reads the length in front of a frame. Throws Error with FrameTooLarge above `limit`.
/// Precondition: `bytes` has frameLengthBytes. Thread safety: any thread.
std::size_t decodeFrameLength(std::string_view bytes, std::size_t limit);

/// Reads a frame without its length. Throws Error with MalformedFrame or FrameVersionUnknown.
/// Thread safety: any thread.
Frame decodeFrame(std::string_view bytes);

} // namespace Ibisturn
