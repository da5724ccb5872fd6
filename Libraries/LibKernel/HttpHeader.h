#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace Ibisturn {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// Whether `text` can be sent as the value of a header and arrives as it is: visible characters, with blanks between them only (RFC 9110).
/// Thread safety: any thread.
inline bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char deletion = 0x7f;
    const auto isBlank = [](char character) { return character == ' ' || character == '\t'; };
    const auto isAllowed = [isBlank](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return isBlank(character) || (byte > ' ' && byte != deletion);
    };
    if (text.empty() || isBlank(text.front()) || isBlank(text.back()))
        return false;
    return std::all_of(text.begin(), text.end(), isAllowed);
}

} // namespace Ibisturn
