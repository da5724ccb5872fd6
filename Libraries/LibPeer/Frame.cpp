#include <LibPeer/Frame.h>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

/// Limits the number of records in one update.
constexpr std::size_t maxElements = 64UL * 1024;
constexpr std::size_t maxDepth = 8;

/// The part of a frame before its message.
struct FrameHeader {
    std::uint8_t version { 0 };
    std::uint8_t type { 0 };
    std::uint64_t incarnation { 0 };
    std::uint64_t request { 0 };
    std::uint64_t number { 0 };
    MSGPACK_DEFINE(version, type, incarnation, request, number)
};

/// Receives what msgpack packs, without a further copy.
struct StringBuffer {
    std::string bytes;
    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};

// Each element's size is bounded by the frame length, which has already been checked.
msgpack::unpack_limit limitFor(std::size_t length)
{
    return { maxElements, maxElements, length, length, 0, maxDepth };
}

/// The number of fields that a message of a peer has at least.
template <typename Message>
std::uint32_t minFieldCount()
{
    if constexpr (requires { Message::requiredFields; })
        return Message::requiredFields;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, Message {});
    return msgpack::unpack(buffer.data(), buffer.size())->via.array.size;
}

// Checks the field count because msgpack fills in missing fields with defaults. Additional unknown fields are ignored.
template <typename Message>
PeerMessage convertMessage(const msgpack::object& object)
{
    static const auto expected = minFieldCount<Message>();
    if (object.type != msgpack::type::ARRAY || object.via.array.size < expected)
        throw Error(ResultCode::MalformedFrame, Ran::No, "A frame's message has too few fields");
    return object.as<Message>();
}

using Converter = PeerMessage (*)(const msgpack::object&);

template <std::size_t... Index>
PeerMessage convertByType(std::uint8_t type, const msgpack::object& object, std::index_sequence<Index...> /*indices*/)
{
    static constexpr Converter converters[] = { convertMessage<std::variant_alternative_t<Index, PeerMessage>>... };
    if (type >= sizeof...(Index))
        throw Error(ResultCode::MalformedFrame, Ran::No, fmt::format("Frame type {} is unknown", type));
    return converters[type](object);
}

msgpack::object_handle unpackNext(std::string_view bytes, std::size_t& offset)
{
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limitFor(bytes.size()));
}

FrameHeader unpackHeader(std::string_view bytes, std::size_t& offset)
{
    const auto header = unpackNext(bytes, offset)->as<FrameHeader>();
    if (header.version != frameVersion)
        throw Error(ResultCode::FrameVersionUnknown, Ran::No, fmt::format("Frame version {} is unknown", header.version));
    return header;
}

} // namespace

std::string encodeFrame(const Frame& frame)
{
    StringBuffer buffer;
    buffer.bytes.assign(frameLengthBytes, '\0');
    const auto type = static_cast<std::uint8_t>(frame.message.index());
    msgpack::pack(buffer, FrameHeader { frameVersion, type, frame.incarnation.count(), frame.request.count(), frame.number });
    std::visit([&buffer](const auto& message) { msgpack::pack(buffer, message); }, frame.message);
    std::string bytes = std::move(buffer.bytes);
    const auto length = bytes.size() - frameLengthBytes;
    for (std::size_t index = 0; index < frameLengthBytes; ++index)
        bytes[index] = static_cast<char>((length >> (8 * (frameLengthBytes - 1 - index))) & 0xff);
    return bytes;
}

std::size_t decodeFrameLength(std::string_view bytes, std::size_t limit)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < frameLengthBytes; ++index)
        length = (length << 8) | static_cast<unsigned char>(bytes[index]);
    if (length > limit)
        throw Error(ResultCode::FrameTooLarge, Ran::No, fmt::format("A frame of {} bytes exceeds the limit of {}", length, limit));
    return length;
}

FrameStart decodeFrameStart(std::string_view bytes)
{
    static const auto forwardType = PeerMessage(ForwardMessage {}).index();
    try {
        std::size_t offset = 0;
        const auto header = unpackHeader(bytes, offset);
        return { Incarnation(header.incarnation), RequestId(header.request), header.type == forwardType, header.number };
    } catch (const msgpack::unpack_error&) {
        throw Error(ResultCode::MalformedFrame, Ran::No, "A frame is not valid msgpack");
    } catch (const msgpack::type_error&) {
        throw Error(ResultCode::MalformedFrame, Ran::No, "A frame's header has fields of the wrong type");
    }
}

Frame decodeFrame(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        const auto header = unpackHeader(bytes, offset);
        const auto body = unpackNext(bytes, offset);
        if (offset != bytes.size())
            throw Error(ResultCode::MalformedFrame, Ran::No, "A frame has bytes after its message");
        auto message = convertByType(header.type, *body, std::make_index_sequence<std::variant_size_v<PeerMessage>> {});
        return { Incarnation(header.incarnation), RequestId(header.request), std::move(message), header.number };
    } catch (const msgpack::unpack_error&) {
        throw Error(ResultCode::MalformedFrame, Ran::No, "A frame is not valid msgpack");
    } catch (const msgpack::type_error&) {
        throw Error(ResultCode::MalformedFrame, Ran::No, "A frame's message has fields of the wrong type");
    }
}

} // namespace Ibisturn
