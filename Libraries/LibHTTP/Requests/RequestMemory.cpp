#include <LibHTTP/Requests/RequestMemory.h>

#include <algorithm>
#include <limits>

namespace Ibisturn {

namespace {

constexpr ByteCount defaultProcessMemory { 256'000'000 };
constexpr std::uint32_t defaultProcessDescriptors = 1024;
/// What control and tables may use.
constexpr ByteCount controlMemory { 64'000'000 };
/// A request uses two connections: a caller's first read of 4 KiB, an answer's part of 16 KiB and its head of 4 KiB.
constexpr std::uint64_t bytesPerDescriptor = 12UL * 1024;
/// Where memory is too small for the rest, requests still have this share of it, and connections at most as much.
constexpr std::uint64_t minShareDivisor = 4;
constexpr std::uint64_t copiesOfBody = 2;

} // namespace

std::optional<ByteCount> requestMemoryOf(const Settings& settings)
{
    if (!settings.fleet)
        return std::nullopt;
    const auto memory = settings.fleet->processMemory.value_or(defaultProcessMemory).count();
    const auto descriptors = settings.fleet->processDescriptors.value_or(defaultProcessDescriptors);
    const auto others = controlMemory.count() + descriptors * bytesPerDescriptor;
    const auto least = memory / minShareDivisor;
    return ByteCount(memory > others + least ? memory - others : least);
}

std::optional<ByteCount> connectionMemoryOf(const Settings& settings)
{
    if (!settings.fleet)
        return std::nullopt;
    const auto memory = settings.fleet->processMemory.value_or(defaultProcessMemory).count();
    const auto descriptors = settings.fleet->processDescriptors.value_or(defaultProcessDescriptors);
    return ByteCount(std::min(descriptors * bytesPerDescriptor, memory / minShareDivisor));
}

ByteCount costOfBody(std::uint64_t size)
{
    constexpr auto maxSize = std::numeric_limits<std::uint64_t>::max() / copiesOfBody;
    return ByteCount(size > maxSize ? std::numeric_limits<std::uint64_t>::max() : size * copiesOfBody);
}

Error memoryUsedUpError(const MemoryBudget& budget, ByteCount cost, TimePoint now)
{
    Error error(ResultCode::MemoryUsedUp, Ran::No, "The instance holds as many bytes of requests as its memory allows");
    error.setRetryAfter(budget.estimateWait(now, cost));
    return error;
}

} // namespace Ibisturn
