#include <LibPlatform/VersionRecords.h>

#include <LibCore/JsonText.h>

#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr std::string_view folder = "software-versions/";
constexpr auto listedField = "listed";
constexpr auto retiringField = "retiring";
/// Larger than any record that an instance writes.
constexpr std::size_t maxRecordSize = 32UL * 1024;
constexpr std::size_t maxVersionLength = 256;

nlohmann::json toJson(const std::set<SoftwareVersion>& versions)
{
    auto list = nlohmann::json::array();
    for (const auto& version : versions)
        list.push_back(version.value());
    return list;
}

std::optional<std::set<SoftwareVersion>> readVersions(const nlohmann::json& record, const char* field)
{
    const auto found = record.find(field);
    if (found == record.end() || !found->is_array() || found->size() > VersionLedger::maxVersions)
        return std::nullopt;
    std::set<SoftwareVersion> versions;
    for (const auto& item : *found) {
        if (!item.is_string() || item.get_ref<const std::string&>().size() > maxVersionLength)
            return std::nullopt;
        versions.insert(SoftwareVersion(item.get<std::string>()));
    }
    return versions;
}

} // namespace

std::string versionsPrefixOf(const std::string& ownPrefix)
{
    return ownPrefix + std::string(folder);
}

std::string versionsKeyOf(const std::string& ownPrefix, const ServiceId& service)
{
    return versionsPrefixOf(ownPrefix) + service.value();
}

std::optional<ServiceId> serviceOfVersionsKey(const std::string& ownPrefix, std::string_view key)
{
    const auto prefix = versionsPrefixOf(ownPrefix);
    if (!key.starts_with(prefix) || key.size() == prefix.size())
        return std::nullopt;
    return ServiceId(std::string(key.substr(prefix.size())));
}

std::string formatVersions(const std::set<SoftwareVersion>& listed, const std::set<SoftwareVersion>& retiring)
{
    const nlohmann::json record { { listedField, toJson(listed) }, { retiringField, toJson(retiring) } };
    return toJsonText(record);
}

std::optional<VersionRecord> parseVersions(std::string_view value, Revision revision)
{
    if (value.size() > maxRecordSize)
        return std::nullopt;
    const auto record = nlohmann::json::parse(value, nullptr, false);
    if (!record.is_object())
        return std::nullopt;
    auto listed = readVersions(record, listedField);
    auto retiring = readVersions(record, retiringField);
    if (!listed || !retiring || listed->contains(SoftwareVersion()))
        return std::nullopt;
    for (const auto& version : *listed)
        retiring->erase(version);
    return VersionRecord { *std::move(listed), *std::move(retiring), revision };
}

VersionRecord unreadableVersions(Revision revision)
{
    return { {}, { SoftwareVersion() }, revision };
}

} // namespace Ibisturn
