#pragma once

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

constexpr std::uint64_t defaultSeed = 20261204;
constexpr std::uint64_t caseCount = 10'000;

/// Source of randomness of one case, so that a case can be replayed alone.
using Random = std::mt19937_64;

/// The seed of this run: IBISTURN_SEED, or the default.
inline std::uint64_t seedOfRun()
{
    const char* text = std::getenv("IBISTURN_SEED");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeed;
}

/// Runs `check` for each case until one fails; prints the seed and, on failure, the case's number.
template <typename Check>
void forEachCase(Check check, std::uint64_t count = caseCount)
{
    const auto seed = seedOfRun();
    fmt::print("seed={} cases={}\n", seed, count);
    for (std::uint64_t index = 0; index < count && !::testing::Test::HasFailure(); ++index) {
        SCOPED_TRACE(fmt::format("IBISTURN_SEED={} case={}", seed, index));
        Random random(seed * caseCount + index);
        check(random);
    }
}

/// Whether `check` returns true for the seed of at least one of `count` cases.
template <typename Check>
bool anyCaseSatisfies(Check check, std::uint64_t count)
{
    for (std::uint64_t index = 0; index < count; ++index) {
        if (check(seedOfRun() * caseCount + index))
            return true;
    }
    return false;
}

/// A random number from zero to `limit - 1`. Precondition: `limit` is positive.
inline std::size_t randomBelow(Random& random, std::size_t limit)
{
    return static_cast<std::size_t>(random() % limit);
}

/// A random string of at most `maxLength` bytes.
inline std::string randomBytes(Random& random, std::size_t maxLength)
{
    std::string bytes(randomBelow(random, maxLength + 1), '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

/// A random element of `list`. Precondition: `list` is not empty.
template <typename List>
const auto& randomElement(Random& random, const List& list)
{
    return list[randomBelow(random, list.size())];
}

/// Makes one to four random changes to `text`: replaces, erases, repeats or inserts bytes, truncates it, or inserts one of
/// `tokens`.
inline std::string mutate(Random& random, std::string text, const std::vector<std::string>& tokens)
{
    const auto changes = 1 + randomBelow(random, 4);
    for (std::size_t change = 0; change < changes; ++change) {
        const auto at = randomBelow(random, text.size() + 1);
        const auto length = randomBelow(random, 8);
        switch (randomBelow(random, 6)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, randomBytes(random, 4));
            break;
        case 4:
            text.resize(at);
            break;
        default:
            text.insert(at, randomElement(random, tokens));
        }
    }
    return text;
}

} // namespace Ibisturn::Testing
