#include <LibDecision/Quarantine/PromptQuarantine.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Servers that are lost within this time of each other may have one common cause, such as a power failure.
constexpr Duration commonCauseTime = std::chrono::milliseconds(250);
/// Losses of independent servers that convict a part.
constexpr std::size_t convictingLosses = 3;
/// Losses after which a failed request with the part is not sent to another server.
constexpr std::size_t retryingLosses = 2;
/// The reports of answers that other instances have seen arrive within this time.
constexpr Duration reportDelay = std::chrono::milliseconds(1500);
constexpr Duration evidenceLifetime = std::chrono::seconds(60);
/// Limits what one instance reports and keeps. The newest evidence is kept.
constexpr std::size_t maxOwnReports = 64;
constexpr std::size_t maxSuspectedParts = 1024;
constexpr std::size_t maxCrashesPerPart = 16;

/// The parts of a prompt that other requests may share.
std::vector<ServicePart> sharedParts(const PlacementQuery& query)
{
    std::vector<ServicePart> parts;
    for (std::size_t index = 0; index + 1 < query.prompt.size(); ++index)
        parts.push_back({ query.service, query.prompt[index].id });
    return parts;
}

} // namespace

void PromptQuarantine::onServerLost(TimePoint now, const BackendServerId& server, StartTime started, const PlacementQuery& query)
{
    for (const auto& part : sharedParts(query))
        addCrash(part, { server, started, query.requestHash, now, true });
}

void PromptQuarantine::onAnswered(TimePoint now, const PlacementQuery& query)
{
    if (crashes_.empty())
        return;
    for (const auto& part : sharedParts(query)) {
        if (!crashes_.contains(part))
            continue;
        addAnswer(part, now);
        answers_[part].ownAt = now;
    }
}

void PromptQuarantine::onEvidence(TimePoint now, const CrashEvidence& evidence)
{
    for (const auto& answer : evidence.answers)
        addAnswer(answer.part, now - answer.age);
    for (const auto& crash : evidence.crashes)
        addCrash(crash.part, { crash.server, crash.started, crash.request, now - crash.age, false });
}

CrashEvidence PromptQuarantine::ownEvidence(TimePoint now) const
{
    CrashEvidence evidence;
    for (const auto& [part, crashes] : crashes_) {
        for (const auto& crash : crashes) {
            if (crash.isOwn)
                evidence.crashes.push_back({ part, crash.server, crash.started, crash.request, now - crash.at });
        }
    }
    for (const auto& [part, answer] : answers_) {
        if (answer.ownAt)
            evidence.answers.push_back({ part, now - *answer.ownAt });
    }
    const auto isNewer = [](const auto& left, const auto& right) { return left.age < right.age; };
    const auto keepNewest = [&isNewer](auto& reports) {
        std::sort(reports.begin(), reports.end(), isNewer);
        reports.resize(std::min(reports.size(), maxOwnReports));
    };
    keepNewest(evidence.crashes);
    keepNewest(evidence.answers);
    return evidence;
}

std::vector<ServicePart> PromptQuarantine::advance(TimePoint now)
{
    const auto isOld = [now](TimePoint time) { return now - time > evidenceLifetime; };
    for (auto& [part, crashes] : crashes_)
        std::erase_if(crashes, [&isOld](const Crash& crash) { return isOld(crash.at); });
    std::erase_if(crashes_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(answers_, [&isOld](const auto& entry) { return isOld(entry.second.at); });
    std::erase_if(quarantined_, [now](const auto& entry) { return now >= entry.second.until; });
    std::vector<ServicePart> found;
    for (const auto& [part, crashes] : crashes_) {
        if (quarantined_.contains(part) || !isConvicted(now, crashes))
            continue;
        quarantined_[part] = { now + quarantineTime, std::nullopt };
        found.push_back(part);
    }
    return found;
}

void PromptQuarantine::onStored(TimePoint now, const ServicePart& part)
{
    quarantined_[part] = { now + quarantineTime, now };
}

void PromptQuarantine::onDeleted(const ServicePart& part)
{
    quarantined_.erase(part);
    crashes_.erase(part);
}

std::optional<ServicePart> PromptQuarantine::findQuarantined(TimePoint now, const PlacementQuery& query)
{
    if (quarantined_.empty())
        return std::nullopt;
    for (const auto& part : sharedParts(query)) {
        const auto found = quarantined_.find(part);
        if (found == quarantined_.end())
            continue;
        found->second.until = now + quarantineTime;
        return part;
    }
    return std::nullopt;
}

bool PromptQuarantine::mayRetry(const PlacementQuery& query) const
{
    const auto parts = sharedParts(query);
    return std::none_of(parts.begin(), parts.end(), [this](const ServicePart& part) {
        const auto found = crashes_.find(part);
        return found != crashes_.end() && serversLost(found->second) >= retryingLosses;
    });
}

std::vector<ServicePart> PromptQuarantine::takeExpiring(TimePoint now)
{
    std::vector<ServicePart> expiring;
    for (auto& [part, quarantine] : quarantined_) {
        const bool isInUse = quarantine.until > now + quarantineTime / 2;
        if (!isInUse || !quarantine.storedAt || now - *quarantine.storedAt < quarantineTime / 2)
            continue;
        quarantine.storedAt = now;
        expiring.push_back(part);
    }
    return expiring;
}

// Reports of one loss differ by the time they need to arrive; the first one counts.
void PromptQuarantine::addCrash(const ServicePart& part, const Crash& crash)
{
    const auto answered = answers_.find(part);
    if (answered != answers_.end() && crash.at <= answered->second.at)
        return;
    if (!crashes_.contains(part) && crashes_.size() >= maxSuspectedParts)
        return;
    auto& crashes = crashes_[part];
    const auto isSame = [&crash](const Crash& known) { return known.server == crash.server && known.started == crash.started && known.request == crash.request; };
    if (std::any_of(crashes.begin(), crashes.end(), isSame) || crashes.size() >= maxCrashesPerPart)
        return;
    const auto isEarlier = [](const Crash& left, const Crash& right) { return left.at < right.at; };
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, isEarlier), crash);
}

void PromptQuarantine::addAnswer(const ServicePart& part, TimePoint at)
{
    auto& answer = answers_[part];
    answer.at = std::max(answer.at, at);
    const auto found = crashes_.find(part);
    if (found == crashes_.end())
        return;
    std::erase_if(found->second, [&answer](const Crash& crash) { return crash.at <= answer.at; });
    if (found->second.empty())
        crashes_.erase(found);
}

bool PromptQuarantine::isConvicted(TimePoint now, const std::vector<Crash>& crashes)
{
    if (crashes.empty() || now - crashes.front().at < reportDelay)
        return false;
    const auto isOtherRequest = [&crashes](const Crash& crash) { return crash.request != crashes.front().request; };
    return serversLost(crashes) >= convictingLosses && std::any_of(crashes.begin(), crashes.end(), isOtherRequest);
}

// Counts different servers whose losses are apart in time. Precondition: `crashes` are in the order of time.
std::size_t PromptQuarantine::serversLost(const std::vector<Crash>& crashes)
{
    std::set<std::pair<BackendServerId, StartTime>> servers;
    std::optional<TimePoint> last;
    for (const auto& crash : crashes) {
        const std::pair server(crash.server, crash.started);
        if ((last && crash.at - *last < commonCauseTime) || servers.contains(server))
            continue;
        servers.insert(server);
        last = crash.at;
    }
    return servers.size();
}

} // namespace Ibisturn
