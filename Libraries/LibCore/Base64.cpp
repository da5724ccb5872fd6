#include <LibCore/Base64.h>

#include <openssl/evp.h>

namespace Ibisturn {

namespace {

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text(charactersPerGroup * ((bytes.size() + bytesPerGroup - 1) / bytesPerGroup) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % charactersPerGroup != 0)
        return std::nullopt;
    std::string bytes(text.size() + 1, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    const auto padding = text.ends_with("==") ? 2U : text.ends_with("=") ? 1U
                                                                         : 0U;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace Ibisturn
