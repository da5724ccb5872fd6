#include <LibCore/UriQuery.h>

#include <charconv>
#include <iterator>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

constexpr std::string_view plainCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";

} // namespace

std::string encodeQueryValue(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (plainCharacters.find(character) != std::string_view::npos)
            encoded += character;
        else
            fmt::format_to(std::back_inserter(encoded), "%{:02X}", static_cast<unsigned char>(character));
    }
    return encoded;
}

std::string makeTarget(std::string_view path, std::initializer_list<QueryParameter> parameters)
{
    std::string target(path);
    char separator = '?';
    for (const auto& parameter : parameters) {
        target += fmt::format("{}{}={}", separator, parameter.name, encodeQueryValue(parameter.value));
        separator = '&';
    }
    return target;
}

std::string decodePercent(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 2;
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned byte = 0;
        const auto escape = text.substr(index + 1, digits);
        const auto* end = escape.data() + escape.size();
        const bool isEscaped = text[index] == '%' && escape.size() == digits && std::from_chars(escape.data(), end, byte, hexadecimal).ptr == end;
        decoded += isEscaped ? static_cast<char>(byte) : text[index];
        if (isEscaped)
            index += digits;
    }
    return decoded;
}

} // namespace Ibisturn
