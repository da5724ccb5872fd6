#include <LibCore/Hexadecimal.h>

#include <string_view>

namespace Ibisturn {

std::string toHexadecimal(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

} // namespace Ibisturn
