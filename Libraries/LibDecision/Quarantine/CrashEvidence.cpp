#include <LibDecision/Quarantine/CrashEvidence.h>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

constexpr int hexadecimal = 16;

template <typename Report>
void addReports(std::vector<Report>& reports, const std::vector<Report>& others, Duration ago)
{
    for (auto report : others) {
        report.age += ago;
        reports.push_back(std::move(report));
    }
}

template <typename Report>
void keepNewestOf(std::vector<Report>& reports, std::size_t maxReports)
{
    if (reports.size() <= maxReports)
        return;
    std::sort(reports.begin(), reports.end(), [](const Report& left, const Report& right) { return left.age < right.age; });
    reports.resize(maxReports);
}

} // namespace

void CrashEvidence::add(const CrashEvidence& other, Duration ago)
{
    addReports(crashes, other.crashes, ago);
    addReports(answers, other.answers, ago);
}

void CrashEvidence::keepNewest(std::size_t maxReports)
{
    keepNewestOf(crashes, maxReports);
    keepNewestOf(answers, maxReports);
}

std::string formatPart(const ServicePart& part)
{
    return fmt::format("{}/{:016x}", part.service, part.part);
}

std::optional<ServicePart> parsePart(std::string_view text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
        return std::nullopt;
    ServicePart part { ServiceId(std::string(text.substr(0, slash))) };
    const auto digits = text.substr(slash + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), part.part, hexadecimal);
    if (digits.empty() || error != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return part;
}

} // namespace Ibisturn
