#include <LibDecision/Quarantine/PromptQuarantine.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

/// Servers that are lost within this time of each other may have a common cause, such as a power failure.
constexpr Duration commonCauseTime = std::chrono::milliseconds(250);
/// Losses of independent servers that convict a part.
constexpr std::size_t convictingLosses = 3;
/// The same for a part of prompts that were answered not long before.
constexpr std::size_t convictingLossesOfAnswered = 6;
/// Losses after which a failed request with the part is not sent to another server.
constexpr std::size_t retryingLosses = 2;
/// The reports of answers that other instances have seen arrive within this time.
constexpr Duration reportDelay = std::chrono::milliseconds(1500);
constexpr Duration evidenceLifetime = std::chrono::seconds(60);
constexpr Duration writeRetryDelay = std::chrono::seconds(2);
/// Limits what one instance reports and keeps. The newest evidence is kept.
constexpr std::size_t maxOwnReports = 64;
constexpr std::size_t maxSuspectedParts = 1024;
constexpr std::size_t maxCrashesPerPart = 64;
constexpr std::ptrdiff_t maxCrashesPerServer = 2;
constexpr std::size_t maxLostServers = 4096;
constexpr std::size_t maxRecentAnswers = 1024;
constexpr Duration recentAnswerLifetime = std::chrono::seconds(30);

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
        addCrash(part, { { server, started }, query.requestHash, now, true });
}

void PromptQuarantine::onAnswered(TimePoint now, const PlacementQuery& query)
{
    for (const auto& part : sharedParts(query)) {
        if (recentAnswers_.size() < maxRecentAnswers || recentAnswers_.contains(part))
            recentAnswers_[part] = now;
        if (crashes_.contains(part))
            addOwnAnswer(part, now);
    }
}

void PromptQuarantine::onEvidence(TimePoint now, const CrashEvidence& evidence)
{
    for (const auto& answer : evidence.answers)
        addAnswer(answer.part, now - answer.age);
    for (const auto& crash : evidence.crashes)
        addCrash(crash.part, { { crash.server, crash.started }, crash.request, now - crash.age, false });
}

CrashEvidence PromptQuarantine::ownEvidence(TimePoint now) const
{
    CrashEvidence evidence;
    for (const auto& [part, crashes] : crashes_) {
        for (const auto& crash : crashes) {
            if (crash.isOwn)
                evidence.crashes.push_back({ part, crash.server.first, crash.server.second, crash.request, now - crash.at });
        }
    }
    for (const auto& [part, answer] : answers_) {
        if (answer.ownAt)
            evidence.answers.push_back({ part, now - *answer.ownAt });
    }
    evidence.keepNewest(maxOwnReports);
    return evidence;
}

std::vector<ServicePart> PromptQuarantine::advance(TimePoint now)
{
    const auto isOld = [now](TimePoint time) { return now - time > evidenceLifetime; };
    for (auto& [part, crashes] : crashes_)
        std::erase_if(crashes, [&isOld](const Crash& crash) { return isOld(crash.at); });
    std::erase_if(crashes_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(lostServers_, [&isOld](const auto& lost) { return isOld(lost.second); });
    std::erase_if(recentAnswers_, [now](const auto& entry) { return now - entry.second > recentAnswerLifetime; });
    std::erase_if(answers_, [&isOld](const auto& entry) { return isOld(entry.second.at); });
    std::erase_if(quarantined_, [now](const auto& entry) { return now >= entry.second.until; });
    std::map<std::size_t, std::vector<ServicePart>, std::greater<>> suspects;
    for (const auto& [part, crashes] : crashes_) {
        if (!quarantined_.contains(part) && isConvicted(now, part, crashes))
            suspects[independentLosses(crashes)].push_back(part);
    }
    std::vector<ServicePart> found;
    for (const auto& [losses, parts] : suspects) {
        std::vector<ServicePart> convicted;
        std::copy_if(parts.begin(), parts.end(), std::back_inserter(convicted), [this](const ServicePart& part) { return !isExplained(part, crashes_.at(part)); });
        for (const auto& part : convicted)
            quarantined_[part] = { now + quarantineTime, now };
        found.insert(found.end(), convicted.begin(), convicted.end());
    }
    return found;
}

void PromptQuarantine::onStored(TimePoint now, const ServicePart& part)
{
    quarantined_[part] = { now + quarantineTime, now + quarantineTime / 2 };
}

void PromptQuarantine::onDeleted(const ServicePart& part)
{
    quarantined_.erase(part);
    crashes_.erase(part);
}

void PromptQuarantine::onLost(TimePoint now, const ServicePart& part)
{
    const auto found = quarantined_.find(part);
    if (found != quarantined_.end())
        found->second.nextWriteAt = now;
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
    return std::none_of(parts.begin(), parts.end(), [this, &query](const ServicePart& part) {
        const auto found = crashes_.find(part);
        if (found == crashes_.end())
            return false;
        const auto& crashes = found->second;
        const auto ownLosses = std::count_if(crashes.begin(), crashes.end(), [&query](const Crash& crash) { return crash.request == query.requestHash; });
        return static_cast<std::size_t>(ownLosses) >= retryingLosses || independentLosses(crashes) >= retryingLosses;
    });
}

std::vector<ServicePart> PromptQuarantine::takeDueWrites(TimePoint now)
{
    std::vector<ServicePart> due;
    for (auto& [part, quarantine] : quarantined_) {
        const bool isInUse = quarantine.until > now + quarantineTime / 2;
        if (!isInUse || now < quarantine.nextWriteAt)
            continue;
        quarantine.nextWriteAt = now + writeRetryDelay;
        due.push_back(part);
    }
    return due;
}

std::string PromptQuarantine::describeCrashes(TimePoint now, const ServicePart& part) const
{
    std::string text;
    const auto found = crashes_.find(part);
    if (found == crashes_.end())
        return text;
    for (const auto& crash : found->second)
        text += fmt::format("{}{}:{}ms", text.empty() ? "" : ",", crash.server.first, std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at).count());
    return text;
}

// Reports of one loss differ by the time they need to arrive; the first one counts.
void PromptQuarantine::addCrash(const ServicePart& part, const Crash& crash)
{
    if (lostServers_.size() < maxLostServers)
        lostServers_.try_emplace(crash.server, crash.at);
    const auto recent = recentAnswers_.find(part);
    if (recent != recentAnswers_.end())
        addOwnAnswer(part, recent->second);
    const auto answered = answers_.find(part);
    if (answered != answers_.end() && crash.at <= answered->second.at)
        return;
    if (!crashes_.contains(part) && crashes_.size() >= maxSuspectedParts)
        return;
    auto& crashes = crashes_[part];
    const auto isSame = [&crash](const Crash& known) { return known.server == crash.server && known.request == crash.request; };
    const auto sameServer = std::count_if(crashes.begin(), crashes.end(), [&crash](const Crash& known) { return known.server == crash.server; });
    if (std::any_of(crashes.begin(), crashes.end(), isSame) || sameServer >= maxCrashesPerServer || crashes.size() >= maxCrashesPerPart)
        return;
    const auto isEarlier = [](const Crash& left, const Crash& right) { return left.at < right.at; };
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, isEarlier), crash);
}

void PromptQuarantine::addOwnAnswer(const ServicePart& part, TimePoint at)
{
    addAnswer(part, at);
    auto& ownAt = answers_[part].ownAt;
    ownAt = std::max(ownAt, std::optional(at));
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

bool PromptQuarantine::isConvicted(TimePoint now, const ServicePart& part, const std::vector<Crash>& crashes) const
{
    if (crashes.size() < lossesToConvict(part) || now - crashes.front().at < reportDelay)
        return false;
    const auto isOtherRequest = [&crashes](const Crash& crash) { return crash.request != crashes.front().request; };
    return std::any_of(crashes.begin(), crashes.end(), isOtherRequest) && independentLosses(crashes) >= lossesToConvict(part);
}

std::size_t PromptQuarantine::lossesToConvict(const ServicePart& part) const
{
    return answers_.contains(part) ? convictingLossesOfAnswered : convictingLosses;
}

// Whether the losses have another reason: without the servers that a quarantined part has crashed, too few are left.
bool PromptQuarantine::isExplained(const ServicePart& part, const std::vector<Crash>& crashes) const
{
    auto unexplained = crashes;
    for (const auto& [other, quarantine] : quarantined_) {
        const auto found = crashes_.find(other);
        if (found == crashes_.end())
            continue;
        std::erase_if(unexplained, [&others = found->second](const Crash& crash) {
            return std::any_of(others.begin(), others.end(), [&crash](const Crash& other) { return other.server == crash.server; });
        });
    }
    return independentLosses(unexplained) < lossesToConvict(part);
}

// Counts different servers whose losses are apart in time and are not explained better by a common cause.
std::size_t PromptQuarantine::independentLosses(const std::vector<Crash>& crashes) const
{
    std::set<ServerProcess> servers;
    std::optional<TimePoint> last;
    for (const auto& crash : crashes) {
        if ((last && crash.at - *last < commonCauseTime) || servers.contains(crash.server) || !explainsLosses(crash.at, crashes))
            continue;
        servers.insert(crash.server);
        last = crash.at;
    }
    return servers.size();
}

// Whether `crashes` contain most of the servers that were lost at about this time.
bool PromptQuarantine::explainsLosses(TimePoint time, const std::vector<Crash>& crashes) const
{
    const auto isNear = [time](TimePoint other) { return other > time - commonCauseTime && other < time + commonCauseTime; };
    const auto all = std::count_if(lostServers_.begin(), lostServers_.end(), [&isNear](const auto& lost) { return isNear(lost.second); });
    std::set<ServerProcess> explained;
    for (const auto& crash : crashes) {
        if (isNear(crash.at))
            explained.insert(crash.server);
    }
    return explained.size() * 2 > static_cast<std::size_t>(all);
}

} // namespace Ibisturn
