#include <LibCore/Digest.h>

#include <LibCore/Hexadecimal.h>

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace Ibisturn {

namespace {

constexpr std::size_t digestLength = 64;

} // namespace

std::string digestOfContent(std::string_view content)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(content.data(), content.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHexadecimal({ digest.data(), length });
}

KeyDigest digestOfKey(std::string_view key)
{
    return KeyDigest(digestOfContent(key));
}

bool isDigest(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digestLength && std::all_of(text.begin(), text.end(), isDigit);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Ibisturn
