#include <LibDecision/Claims/IssuedKey.h>

#include <charconv>

namespace Ibisturn {

namespace {

constexpr std::string_view issuedKeyPrefix = "ibisturn:";
constexpr char separator = ':';

/// Removes the number after the last separator from `text` and returns it.
std::optional<std::uint64_t> takeLastNumber(std::string_view& text)
{
    const auto at = text.rfind(separator);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(at + 1);
    std::uint64_t number = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (digits.empty() || result.ec != std::errc() || result.ptr != digits.data() + digits.size())
        return std::nullopt;
    text = text.substr(0, at);
    return number;
}

} // namespace

IdempotencyKey formatIssuedKey(const IssuedKey& key)
{
    return IdempotencyKey(fmt::format("{}{}:{}:{}", issuedKeyPrefix, key.issuer.instance, key.issuer.incarnation, key.serial));
}

std::optional<IssuedKey> parseIssuedKey(const IdempotencyKey& key)
{
    std::string_view text = key.value();
    if (!text.starts_with(issuedKeyPrefix))
        return std::nullopt;
    text.remove_prefix(issuedKeyPrefix.size());
    const auto serial = takeLastNumber(text);
    const auto incarnation = takeLastNumber(text);
    if (!serial || !incarnation || text.empty())
        return std::nullopt;
    return IssuedKey { { InstanceId(std::string(text)), Incarnation(*incarnation) }, *serial };
}

} // namespace Ibisturn
