#include <LibDecision/Admission/ConnectionBudget.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Idle connections to backend servers may use a quarter of the descriptors.
constexpr std::uint64_t idleServerDivisor = 4;
/// Connections to and from peers, those to backend servers for requests of peers, and those of callers who ask the directory may use an eighth.
constexpr std::uint64_t peerDivisor = 8;
/// Of this eighth, callers who ask the directory may use half.
constexpr std::uint64_t directoryDivisor = 16;
/// Where the descriptors are too few for all this, callers still have this share of them.
constexpr std::uint64_t minCallerDivisor = 8;
/// Releases of the current and the last period determine the rate.
constexpr Duration ratePeriod = std::chrono::seconds(1);

} // namespace

ConnectionBudget::ConnectionBudget(std::uint64_t descriptors, std::uint64_t workers)
    : idleServerConnections_(descriptors / idleServerDivisor / workers)
    , directoryConnections_(std::max<std::uint64_t>(1, descriptors / directoryDivisor))
    , refusals_(std::max<std::uint64_t>(1, maxRefusals / workers))
{
    const auto others = fileDescriptors + controlDescriptors + descriptors / idleServerDivisor + descriptors / peerDivisor;
    const auto least = descriptors / minCallerDivisor;
    const auto forCallers = descriptors > others + least ? descriptors - others : least;
    // A connection with a request needs two.
    callerDescriptors_ = std::max<std::uint64_t>(2, forCallers / workers);
}

ConnectionDecision ConnectionBudget::decide(const ConnectionUsage& usage) const
{
    if (usage.open + usage.busy < callerDescriptors_)
        return ConnectionDecision::Accept;
    return usage.idle > 0 ? ConnectionDecision::CloseIdleAndAccept : ConnectionDecision::Refuse;
}

bool ConnectionBudget::mustCloseIdle(const ConnectionUsage& usage) const
{
    return usage.idle > 0 && usage.open + usage.busy > callerDescriptors_;
}

void ConnectionBudget::advance(TimePoint now)
{
    if (periodStart_ && now - *periodStart_ < ratePeriod)
        return;
    const bool isRecent = periodStart_ && now - *periodStart_ < 2 * ratePeriod;
    releasesBefore_ = isRecent ? releases_ : 0;
    releases_ = 0;
    periodStart_ = now;
}

void ConnectionBudget::onRelease(TimePoint now)
{
    advance(now);
    ++releases_;
}

std::chrono::milliseconds ConnectionBudget::retryAfter(TimePoint now)
{
    advance(now);
    const auto elapsed = std::chrono::duration<double>(ratePeriod + (now - *periodStart_)).count();
    const auto rate = static_cast<double>(releases_ + releasesBefore_) / elapsed;
    // Without a release the wait is the longest; refused callers are spread over it as if one connection became free in each `minWait`.
    const auto spacing = rate > 0 ? std::min<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate)), maxWait) : minWait;
    queueEnd_ = std::clamp<TimePoint>(std::max(queueEnd_, now) + spacing, now + minWait, now + maxWait);
    return std::chrono::ceil<std::chrono::milliseconds>(queueEnd_ - now);
}

} // namespace Ibisturn
