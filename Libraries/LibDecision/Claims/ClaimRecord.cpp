#include <LibDecision/Claims/ClaimRecord.h>

#include <msgpack.hpp>

namespace Ibisturn {

namespace {

constexpr std::uint8_t recordVersion = 1;

/// The serialized form of the record.
struct PackedRecord {
    std::uint8_t version { recordVersion };
    std::string instance;
    std::uint64_t incarnation { 0 };
    std::uint64_t number { 0 };
    std::string bodyDigest;
    std::uint8_t state { 0 };
    bool hasAnswer { false };
    unsigned status { 0 };
    std::string contentType;
    std::string body;
    MSGPACK_DEFINE(version, instance, incarnation, number, bodyDigest, state, hasAnswer, status, contentType, body)
};

} // namespace

std::string encodeClaimRecord(const ClaimRecord& record)
{
    PackedRecord packed;
    packed.instance = record.owner.instance.value();
    packed.incarnation = record.owner.incarnation.count();
    packed.number = record.number.count();
    packed.bodyDigest = record.bodyDigest;
    packed.state = static_cast<std::uint8_t>(record.state);
    packed.hasAnswer = record.answer.has_value();
    if (record.answer) {
        packed.status = record.answer->status;
        packed.contentType = record.answer->contentType;
        packed.body = record.answer->body;
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    return { buffer.data(), buffer.size() };
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes)
{
    PackedRecord packed;
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        handle.get().convert(packed);
    } catch (const std::exception&) {
        return std::nullopt;
    }
    if (packed.version != recordVersion || packed.state > static_cast<std::uint8_t>(ClaimRecordState::Unknown))
        return std::nullopt;
    ClaimRecord record;
    record.owner = { InstanceId(packed.instance), Incarnation(packed.incarnation) };
    record.number = ClaimNumber(packed.number);
    record.bodyDigest = packed.bodyDigest;
    record.state = static_cast<ClaimRecordState>(packed.state);
    if (packed.hasAnswer)
        record.answer = StoredAnswer { packed.status, packed.contentType, packed.body };
    return record;
}

} // namespace Ibisturn
