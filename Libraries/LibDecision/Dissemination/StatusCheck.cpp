#include <LibDecision/Dissemination/StatusCheck.h>

#include <LibDecision/Streams/StreamNoteLog.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

constexpr std::size_t maxEntries = 100'000;
constexpr std::int64_t maxTokens = 1'000'000'000'000;
constexpr Duration maxDuration = std::chrono::hours(24 * 365 * 100);
/// Twice what this version sends in one message.
constexpr std::size_t maxNotes = 2 * StreamNoteLog::maxNotes;
constexpr Duration maxNoteAge = std::chrono::minutes(1);
constexpr std::size_t maxNameBytes = 1024;

bool isPossible(double number)
{
    return std::isfinite(number) && number >= 0 && number <= static_cast<double>(maxTokens);
}

bool isPossible(TokenCount tokens)
{
    return tokens.count() >= 0 && tokens.count() <= maxTokens;
}

bool isPossible(Duration duration)
{
    return duration >= Duration::zero() && duration <= maxDuration;
}

bool isPossible(const std::optional<Duration>& duration)
{
    return !duration || isPossible(*duration);
}

bool isPossible(const AllowanceDemand& demand)
{
    return isPossible(demand.demand.count()) && isPossible(demand.used);
}

bool isPossible(const InstanceLoad& load)
{
    return isPossible(load.urgentBacklog) && isPossible(load.backlog) && isPossible(load.reservedTokens);
}

bool isPossible(const RegionWaitEstimate& estimate)
{
    return isPossible(estimate.urgentWait) && isPossible(estimate.wait) && isPossible(estimate.millisecondsPerToken);
}

bool isPossible(const CrashReport& report)
{
    return isPossible(report.age);
}

bool isPossible(const AnswerReport& report)
{
    return isPossible(report.age);
}

// Empty identifiers would be an origin that no backend server has.
bool isPossible(const StreamNote& note)
{
    const auto isName = [](const std::string& name) { return !name.empty() && name.size() <= maxNameBytes; };
    return note.age >= Duration::zero() && note.age <= maxNoteAge && isName(note.origin.service.value()) && isName(note.origin.version.value());
}

bool isPossible(Revision position)
{
    return position.number() >= 0 && position.era() >= StoreEra();
}

template <typename Entry>
bool areAllPossible(const std::vector<Entry>& entries)
{
    return entries.size() <= maxEntries && std::all_of(entries.begin(), entries.end(), [](const Entry& entry) { return isPossible(entry); });
}

} // namespace

bool isPlausible(const CrashEvidence& evidence)
{
    return areAllPossible(evidence.crashes) && areAllPossible(evidence.answers);
}

bool isPlausible(const std::vector<StreamNote>& notes)
{
    return notes.size() <= maxNotes && areAllPossible(notes);
}

bool isPlausible(const InstanceReport& report)
{
    return isPossible(report.uptime) && isPossible(report.lastDigestAgo) && areAllPossible(report.demands) && areAllPossible(report.loads) && isPlausible(report.evidence)
        && isPlausible(report.notes);
}

bool isPlausible(const RegionDigest& digest)
{
    return isPossible(digest.uptime) && areAllPossible(digest.demands) && areAllPossible(digest.waitEstimates) && digest.leaving.size() <= maxEntries && digest.unlisted.size() <= maxEntries && isPlausible(digest.evidence);
}

bool isPlausible(const FleetDigest& digest)
{
    const auto& others = digest.others;
    return isPlausible(digest.own) && areAllPossible(digest.loads) && others.size() <= maxEntries && std::all_of(others.begin(), others.end(), [](const RegionDigest& other) { return isPlausible(other); })
        && isPossible(digest.store.age) && areAllPossible(digest.store.positions) && isPlausible(digest.notes);
}

bool isPlausible(const RegionExchange& exchange)
{
    return isPossible(exchange.lastReceivedAgo) && isPlausible(exchange.digest) && isPlausible(exchange.notes);
}

} // namespace Ibisturn
