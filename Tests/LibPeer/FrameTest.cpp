#include <LibPeer/Frame.h>

#include <Tests/Support/Cases.h>

#include <optional>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;
using Testing::randomBelow;
using Testing::randomBytes;

constexpr std::size_t frameLimit = 64UL * 1024;
/// An AnswerEndMessage.
const std::string emptyEnd { '\x91', '\x00' };
constexpr std::size_t messageKinds = std::variant_size_v<PeerMessage>;

PeerMessage makeMessage(Random& random, std::size_t kind)
{
    const auto text = [&random] { return randomBytes(random, 40); };
    switch (kind) {
    case 0:
        return HelloMessage { text(), text(), text(), static_cast<std::int64_t>(random()) };
    case 1:
        return ForwardMessage { text(), text(), static_cast<std::int64_t>(random()), text(), text(), text(), text(), text(), random(), randomBytes(random, 400) };
    case 2:
        return AnswerHeadMessage { static_cast<std::uint32_t>(random()), text() };
    case 3:
        return AnswerPartMessage { randomBytes(random, 400) };
    case 4:
        return AnswerEndMessage {};
    default:
        return FailureMessage { static_cast<std::uint16_t>(random()), static_cast<std::uint8_t>(random()), text() };
    }
}

std::string makeFrame(Random& random, std::size_t kind)
{
    const Frame frame { Incarnation(random()), RequestId(random()), makeMessage(random, kind) };
    return encodeFrame(frame).substr(frameLengthBytes);
}

std::string makeFrame(Random& random)
{
    return makeFrame(random, randomBelow(random, messageKinds));
}

/// The code with which a frame is refused, or nothing if it is read. Any other exception fails the test.
std::optional<ResultCode> refusalOf(const std::string& bytes)
{
    try {
        decodeFrame(bytes);
    } catch (const Error& error) {
        EXPECT_EQ(error.ran(), Ran::No);
        EXPECT_TRUE(error.code() == ResultCode::MalformedFrame || error.code() == ResultCode::FrameVersionUnknown);
        return error.code();
    }
    return std::nullopt;
}

std::string packHeader(std::uint64_t version, std::uint64_t type)
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(4).pack(version).pack(type).pack(std::uint64_t { 1 }).pack(std::uint64_t { 2 });
    return { buffer.data(), buffer.size() };
}

/// The message of a frame with one field left out or replaced by a value of another type. Fields from `requiredFields` on are not left out.
std::string corruptField(Random& random, const msgpack::object& message, std::uint32_t requiredFields)
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    const auto count = message.via.array.size;
    const auto corrupted = randomBelow(random, count);
    const bool isOmitted = randomBelow(random, 4) == 0 && corrupted < requiredFields;
    packer.pack_array(isOmitted ? count - 1 : count);
    for (std::uint32_t index = 0; index < count; ++index) {
        if (index != corrupted)
            packer.pack(message.via.array.ptr[index]);
        else if (!isOmitted && randomBelow(random, 2) == 0)
            packer.pack_map(0);
        else if (!isOmitted)
            packer.pack_nil();
    }
    return { buffer.data(), buffer.size() };
}

/// A frame with the first `fields` fields of a message, as an earlier version sends it.
template <typename Message>
std::string earlierFrameOf(const Message& message, std::uint32_t fields)
{
    msgpack::sbuffer whole;
    msgpack::pack(whole, message);
    const auto object = msgpack::unpack(whole.data(), whole.size());
    EXPECT_GT(object->via.array.size, fields);
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(fields);
    for (std::uint32_t index = 0; index < fields; ++index)
        packer.pack(object->via.array.ptr[index]);
    return packHeader(frameVersion, PeerMessage(Message {}).index()) + std::string(buffer.data(), buffer.size());
}

// The status messages of the version before notes of streams.
struct EarlierReport {
    std::uint64_t incarnation { 0 };
    std::uint64_t number { 0 };
    std::uint8_t state { 0 };
    std::int64_t uptime { 0 };
    std::int64_t lastDigestAgo { -1 };
    std::vector<AllowanceDemandMessage> demands;
    std::vector<ServerLoadMessage> loads;
    CrashEvidenceMessage evidence;
    MSGPACK_DEFINE(incarnation, number, state, uptime, lastDigestAgo, demands, loads, evidence)
};

struct EarlierExchange {
    std::uint64_t incarnation { 0 };
    std::uint64_t number { 0 };
    bool isReply { false };
    std::int64_t lastReceivedAgo { -1 };
    RegionDigestMessage digest;
    MSGPACK_DEFINE(incarnation, number, isReply, lastReceivedAgo, digest)
};

struct EarlierDigest {
    std::uint64_t report { 0 };
    bool isCounted { false };
    RegionDigestMessage own;
    std::vector<ServerLoadMessage> loads;
    std::vector<RegionDigestMessage> others;
    bool isFollowingStore { false };
    std::int64_t storeAge { -1 };
    std::vector<std::int64_t> storePositions;
    std::vector<std::int64_t> storeEras;
    MSGPACK_DEFINE(report, isCounted, own, loads, others, isFollowingStore, storeAge, storePositions, storeEras)
};

/// Reads the fields of a status message that an earlier version knows, as it does: more fields than these are let pass.
template <typename Earlier, typename Message>
Earlier readAsEarlier(const Message& message)
{
    const auto bytes = encodeFrame({ Incarnation(1), RequestId(2), message }).substr(frameLengthBytes);
    std::size_t offset = 0;
    msgpack::unpack(bytes.data(), bytes.size(), offset);
    return msgpack::unpack(bytes.data(), bytes.size(), offset)->template as<Earlier>();
}

} // namespace

TEST(Frame, RoundTripsUnchanged)
{
    forEachCase([](Random& random) {
        const Frame frame { Incarnation(random()), RequestId(random()), makeMessage(random, randomBelow(random, messageKinds)), random() };
        const auto bytes = encodeFrame(frame);
        ASSERT_EQ(decodeFrameLength(bytes, frameLimit), bytes.size() - frameLengthBytes);
        ASSERT_EQ(encodeFrame(decodeFrame(bytes.substr(frameLengthBytes))), bytes);
    });
}

TEST(Frame, RandomBytesAreRefused)
{
    forEachCase([](Random& random) { ASSERT_TRUE(refusalOf(randomBytes(random, 64))); });
}

TEST(Frame, TruncatedFramesAreRefused)
{
    forEachCase([](Random& random) {
        auto bytes = makeFrame(random);
        bytes.resize(randomBelow(random, bytes.size()));
        ASSERT_EQ(refusalOf(bytes), ResultCode::MalformedFrame);
    });
}

TEST(Frame, MutatedFramesAreReadOrRefused)
{
    const std::vector<std::string> tokens { "\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\xc1", "\xc9\xff\xff\xff\xff\x01", std::string(40, '\x91') };
    forEachCase([&tokens](Random& random) { refusalOf(Testing::mutate(random, makeFrame(random), tokens)); });
}

TEST(Frame, FramesOverTheLimitAreRefused)
{
    forEachCase([](Random& random) {
        const auto limit = randomBelow(random, 1U << 31U);
        const auto length = limit + 1 + randomBelow(random, 1U << 31U);
        std::string bytes;
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes += static_cast<char>((length >> shift) & 0xff);
        try {
            decodeFrameLength(bytes, limit);
            FAIL() << "a frame of " << length << " bytes passed a limit of " << limit;
        } catch (const Error& error) {
            ASSERT_EQ(error.code(), ResultCode::FrameTooLarge);
        }
    });
}

TEST(Frame, OtherVersionsAndTypesAreRefused)
{
    forEachCase([](Random& random) {
        const auto version = frameVersion + 1 + randomBelow(random, 255 - frameVersion);
        ASSERT_EQ(refusalOf(packHeader(version, 4) + emptyEnd), ResultCode::FrameVersionUnknown);
        const auto type = messageKinds + randomBelow(random, 1000);
        ASSERT_EQ(refusalOf(packHeader(frameVersion, type) + emptyEnd), ResultCode::MalformedFrame);
    });
}

// Guards against an instance that refuses all frames of one of an older version, which does not number them.
TEST(Frame, HeaderWithoutNumberIsRead)
{
    const auto frame = decodeFrame(packHeader(frameVersion, 4) + emptyEnd);
    EXPECT_TRUE(std::holds_alternative<AnswerEndMessage>(frame.message));
    EXPECT_EQ(frame.number, 0U);
}

// Guards against instances of two versions that refuse each other's status, so that they take each other for unreachable during an update.
TEST(Frame, StatusOfAnEarlierVersionIsRead)
{
    InstanceReportMessage report;
    report.number = 7;
    report.notes = { { "model", "1.4", "eight by", "a" } };
    report.confirmedDigest = 3;
    const auto receivedReport = std::get<InstanceReportMessage>(decodeFrame(earlierFrameOf(report, 8)).message);
    EXPECT_EQ(receivedReport.number, 7U);
    EXPECT_TRUE(receivedReport.notes.empty());
    EXPECT_EQ(receivedReport.confirmedDigest, -1);
    FleetDigestMessage digest;
    digest.report = 7;
    digest.notes = report.notes;
    const auto receivedDigest = std::get<FleetDigestMessage>(decodeFrame(earlierFrameOf(digest, 9)).message);
    EXPECT_EQ(receivedDigest.report, 7U);
    EXPECT_TRUE(receivedDigest.notes.empty());
    RegionExchangeMessage exchange;
    exchange.number = 7;
    exchange.notes = report.notes;
    exchange.confirmedExchange = 3;
    const auto receivedExchange = std::get<RegionExchangeMessage>(decodeFrame(earlierFrameOf(exchange, 5)).message);
    EXPECT_EQ(receivedExchange.number, 7U);
    EXPECT_TRUE(receivedExchange.notes.empty());
    EXPECT_EQ(receivedExchange.confirmedExchange, 0U);
    // Fields that the earlier version has are still required.
    EXPECT_EQ(refusalOf(earlierFrameOf(report, 7)), ResultCode::MalformedFrame);
    EXPECT_EQ(refusalOf(earlierFrameOf(digest, 8)), ResultCode::MalformedFrame);
    EXPECT_EQ(refusalOf(earlierFrameOf(exchange, 4)), ResultCode::MalformedFrame);
}

TEST(Frame, AnEarlierVersionReadsTheStatus)
{
    const std::vector<StreamNotesMessage> notes { { "model", "1.4", "eight by", "a" } };
    InstanceReportMessage report;
    report.number = 7;
    report.evidence.answers = { { "model", 1, 2 } };
    report.notes = notes;
    const auto earlierReport = readAsEarlier<EarlierReport>(report);
    EXPECT_EQ(earlierReport.number, 7U);
    EXPECT_EQ(earlierReport.evidence.answers.size(), 1U);
    RegionExchangeMessage exchange;
    exchange.digest.region = "khomas";
    exchange.notes = notes;
    EXPECT_EQ(readAsEarlier<EarlierExchange>(exchange).digest.region, "khomas");
    FleetDigestMessage digest;
    digest.storeEras = { 5 };
    digest.notes = notes;
    EXPECT_EQ(readAsEarlier<EarlierDigest>(digest).storeEras, digest.storeEras);
}

// Guards against notes that take a receiver's time or memory, or end its process.
TEST(Frame, MutatedNotesAreReadOrRefused)
{
    const std::vector<std::string> tokens { "\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff", "\xc1", "\xcf\xff\xff\xff\xff\xff\xff\xff\xff", "\xd3\x80", "\xc0", "\x90" };
    forEachCase([&tokens](Random& random) {
        InstanceReportMessage report;
        for (std::size_t group = 0; group < randomBelow(random, 3); ++group) {
            StreamNotesMessage notes { randomBytes(random, 8), randomBytes(random, 8), {}, {} };
            for (std::size_t note = 0; note < randomBelow(random, 4); ++note) {
                notes.keys += randomBytes(random, 16);
                notes.ages += static_cast<char>(random());
            }
            report.notes.push_back(std::move(notes));
        }
        const auto bytes = encodeFrame({ Incarnation(1), RequestId(2), report }).substr(frameLengthBytes);
        ASSERT_FALSE(refusalOf(bytes));
        refusalOf(Testing::mutate(random, bytes, tokens));
    });
}

TEST(Frame, FieldsThatAreMissingOrOfAnotherTypeAreRefused)
{
    forEachCase([](Random& random) {
        const auto kind = randomBelow(random, messageKinds);
        const auto bytes = makeFrame(random, kind);
        std::size_t offset = 0;
        msgpack::unpack(bytes.data(), bytes.size(), offset);
        const auto message = msgpack::unpack(bytes.data(), bytes.size(), offset);
        const auto requiredFields = kind == 2 ? AnswerHeadMessage::requiredFields : message->via.array.size;
        ASSERT_EQ(refusalOf(packHeader(frameVersion, kind) + corruptField(random, *message, requiredFields)), ResultCode::MalformedFrame);
    });
}

namespace {

/// A frame whose message has the first `count` fields of `message`, and the texts `more` after them.
template <typename Message>
std::string frameOfOtherVersion(std::size_t kind, const Message& message, std::uint32_t count, const std::vector<std::string>& more = {})
{
    msgpack::sbuffer packed;
    msgpack::pack(packed, message);
    const auto object = msgpack::unpack(packed.data(), packed.size());
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(count + static_cast<std::uint32_t>(more.size()));
    for (std::uint32_t index = 0; index < count; ++index)
        packer.pack(object->via.array.ptr[index]);
    for (const auto& text : more)
        packer.pack(text);
    return packHeader(frameVersion, kind) + std::string(buffer.data(), buffer.size());
}

/// A forwarded request as `Routed` encodes its part for routes with a policy.
template <typename Routed>
struct ForwardMessageWith {
    ForwardMessage message;
    std::vector<Routed> routed;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT: the name that msgpack expects
    {
        packer.pack_array(14).pack(message.workspace).pack(message.route).pack(message.revision).pack(message.method).pack(message.target);
        packer.pack(message.contentType).pack(message.idempotencyKey).pack(message.traceparent).pack(message.timeoutMilliseconds).pack(message.body);
        packer.pack(message.keyDigest).pack(message.eventsReceived).pack(message.asksOwner).pack(routed);
    }
};

/// RoutedRequestMessage before streams stayed with a software version.
struct OlderRoutedMessage {
    RoutedRequestMessage message;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT: the name that msgpack expects
    {
        packer.pack_array(14).pack(message.service).pack(message.callerId).pack(message.host).pack(message.headers).pack(message.prompt);
        packer.pack(message.promptTokens).pack(message.mostAnswerTokens).pack(message.priority).pack(message.targetMilliseconds).pack(message.canResume);
        packer.pack(message.tellsHomeRegions).pack(message.hasHomeRegions).pack(message.homeRegions).pack(message.revisionEra);
    }
};

/// RoutedRequestMessage with a field that this version does not know.
struct NewerRoutedMessage {
    RoutedRequestMessage message;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT: the name that msgpack expects
    {
        packer.pack_array(16).pack(message.service).pack(message.callerId).pack(message.host).pack(message.headers).pack(message.prompt);
        packer.pack(message.promptTokens).pack(message.mostAnswerTokens).pack(message.priority).pack(message.targetMilliseconds).pack(message.canResume);
        packer.pack(message.tellsHomeRegions).pack(message.hasHomeRegions).pack(message.homeRegions).pack(message.revisionEra).pack(message.requiredVersion);
        packer.pack(std::string("more"));
    }
};

template <typename Routed>
RoutedRequestMessage readRouted(const Routed& routed)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, ForwardMessageWith<Routed> { {}, { routed } });
    const auto frame = decodeFrame(packHeader(frameVersion, 1) + std::string(buffer.data(), buffer.size()));
    return std::get<ForwardMessage>(frame.message).routed.at(0);
}

} // namespace

// Guards against an instance that refuses all answers of one of an older version, which does not tell the software version.
TEST(Frame, AnswerHeadOfAnotherVersionIsRead)
{
    const AnswerHeadMessage head { 200, "text/event-stream", true, {}, 7, "v1" };
    const auto older = decodeFrame(frameOfOtherVersion(2, head, AnswerHeadMessage::requiredFields));
    EXPECT_EQ(std::get<AnswerHeadMessage>(older.message).contentLength, 7);
    EXPECT_EQ(std::get<AnswerHeadMessage>(older.message).version, "");
    const auto newer = decodeFrame(frameOfOtherVersion(2, head, 6, { "more" }));
    EXPECT_EQ(std::get<AnswerHeadMessage>(newer.message).version, "v1");
    // Nothing else may be left out.
    EXPECT_EQ(refusalOf(frameOfOtherVersion(2, head, AnswerHeadMessage::requiredFields - 1)), ResultCode::MalformedFrame);
}

// The same for a request that requires a software version, and one that could not.
TEST(Frame, RoutedRequestOfAnotherVersionIsRead)
{
    RoutedRequestMessage message;
    message.service = "model";
    message.canResume = true;
    message.revisionEra = 3;
    message.requiredVersion = "v1";
    EXPECT_EQ(readRouted(message).requiredVersion, "v1");
    const auto older = readRouted(OlderRoutedMessage { message });
    EXPECT_EQ(older.service, "model");
    EXPECT_EQ(older.revisionEra, 3);
    EXPECT_EQ(older.requiredVersion, "");
    const auto newer = readRouted(NewerRoutedMessage { message });
    EXPECT_EQ(newer.revisionEra, 3);
    EXPECT_EQ(newer.requiredVersion, "v1");
}

} // namespace Ibisturn
