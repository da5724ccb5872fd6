#include <LibHTTP/Callers/CallerCredentials.h>

#include <LibCore/Digest.h>
#include <Tests/Support/Cases.h>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;
using Testing::randomBelow;
using Testing::randomElement;

const std::string secret = "Sk-4f1-secret";

/// Returns `text` with some characters percent-encoded and some letters in upper case.
std::string obfuscate(Random& random, const std::string& text)
{
    std::string obfuscated;
    for (const char character : text) {
        if (randomBelow(random, 3) == 0)
            obfuscated += fmt::format("%{:02x}", static_cast<unsigned char>(character));
        else if (randomBelow(random, 3) == 0)
            obfuscated += static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
        else
            obfuscated += character;
    }
    return obfuscated;
}

} // namespace

TEST(CallerCredentials, KeyIsRemovedFromTheTarget)
{
    const std::vector<std::string> names { "key", "api_key" };
    const std::vector<std::string> others { "a=b", "", "=", "a", "%", "%4", "x=%zz", "key", "api_key=", "?", "keys=1", "a==b", "#" };
    forEachCase([&](Random& random) {
        std::string target = "/v1/chat";
        char separator = '?';
        const auto count = 1 + randomBelow(random, 5);
        const auto secretAt = randomBelow(random, count);
        for (std::size_t index = 0; index < count; ++index) {
            target += separator;
            target += index == secretAt ? obfuscate(random, randomElement(random, names)) + "=" + secret : randomElement(random, others);
            separator = '&';
        }
        const auto credentials = extractCredentials("", "", target);
        ASSERT_EQ(credentials.target.find(secret), std::string::npos) << target;
        ASSERT_EQ(credentials.key, digestOfKey(secret)) << target;
    });
}

TEST(CallerCredentials, AcceptsAnyInputAndKeepsOtherParameters)
{
    forEachCase([](Random& random) {
        const std::string target = Testing::mutate(random, "/v1/models?limit=5&key=abc&after=%20x", { "?", "&", "%", "=", "key=", "%00" });
        extractCredentials(Testing::randomBytes(random, 20), Testing::randomBytes(random, 20), target);
    });
    EXPECT_EQ(extractCredentials("", "", "/v1/models?limit=5&key=abc&after=%20x").target, "/v1/models?limit=5&after=%20x");
    EXPECT_EQ(extractCredentials("bearer abc", "", "/").key, digestOfKey("abc"));
    EXPECT_EQ(extractCredentials("Basic abc", "", "/").key, std::nullopt);
    EXPECT_EQ(extractCredentials("", "abc", "/?key=other").target, "/");
}

} // namespace Ibisturn
