#include <LibCore/Span.h>

#include <LibCore/Hexadecimal.h>
#include <LibCore/JsonText.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

namespace Ibisturn {

namespace {

constexpr std::size_t traceIdBytes = 16;
constexpr std::size_t spanIdBytes = 8;
constexpr std::size_t traceparentLength = 55;
constexpr std::size_t traceIdOffset = 3;
constexpr std::size_t spanIdOffset = 36;
constexpr std::size_t flagsOffset = 53;

std::mt19937_64 makeGenerator()
{
    std::array<std::uint64_t, 4> entropy {};
    RAND_bytes(reinterpret_cast<unsigned char*>(entropy.data()), sizeof(entropy));
    std::seed_seq seed(entropy.begin(), entropy.end());
    return std::mt19937_64(seed);
}

// Ids must be unique but not secret, so a generator that is seeded once per thread is sufficient.
template <std::size_t Count>
std::string randomHexadecimal()
{
    thread_local auto generator = makeGenerator();
    std::array<unsigned char, Count> bytes {};
    for (std::size_t index = 0; index < Count; index += sizeof(std::uint64_t)) {
        const std::uint64_t word = generator();
        std::memcpy(bytes.data() + index, &word, sizeof(word));
    }
    return toHexadecimal(bytes);
}

bool isHexadecimal(std::string_view text)
{
    const auto isDigit = [](unsigned char c) { return std::isdigit(c) || (c >= 'a' && c <= 'f'); };
    return std::all_of(text.begin(), text.end(), isDigit);
}

bool isIdentifier(std::string_view text)
{
    const auto isZero = [](char c) { return c == '0'; };
    return isHexadecimal(text) && !std::all_of(text.begin(), text.end(), isZero);
}

std::string nanosecondsSinceEpoch(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentLength || header.substr(0, traceIdOffset) != "00-")
        return std::nullopt;
    const auto traceId = header.substr(traceIdOffset, traceIdBytes * 2);
    const auto spanId = header.substr(spanIdOffset, spanIdBytes * 2);
    const bool isSeparated = header[spanIdOffset - 1] == '-' && header[flagsOffset - 1] == '-';
    if (!isSeparated || !isIdentifier(traceId) || !isIdentifier(spanId) || !isHexadecimal(header.substr(flagsOffset)))
        return std::nullopt;
    return TraceContext { std::string(traceId), std::string(spanId) };
}

std::string formatTraceparent(const TraceContext& context)
{
    return fmt::format("00-{}-{}-01", context.traceId, context.spanId);
}

Span::Span(std::string name, const std::optional<TraceContext>& parent)
    : name_(std::move(name))
    , start_(std::chrono::system_clock::now())
{
    context_.spanId = randomHexadecimal<spanIdBytes>();
    if (!parent) {
        context_.traceId = randomHexadecimal<traceIdBytes>();
        return;
    }
    context_.traceId = parent->traceId;
    parentSpanId_ = parent->spanId;
}

void Span::setAttribute(std::string key, std::string value)
{
    attributes_.push_back({ std::move(key), std::move(value) });
}

void Span::end()
{
    if (!end_)
        end_ = std::chrono::system_clock::now();
}

std::string Span::toJson() const
{
    auto attributes = nlohmann::json::array();
    for (const auto& attribute : attributes_)
        attributes.push_back({ { "key", attribute.key }, { "value", { { "stringValue", attribute.value } } } });
    const nlohmann::json span {
        { "traceId", context_.traceId },
        { "spanId", context_.spanId },
        { "parentSpanId", parentSpanId_ },
        { "name", name_ },
        { "startTimeUnixNano", nanosecondsSinceEpoch(start_) },
        { "endTimeUnixNano", nanosecondsSinceEpoch(end_.value_or(start_)) },
        { "attributes", std::move(attributes) },
    };
    return toJsonText(span);
}

} // namespace Ibisturn
