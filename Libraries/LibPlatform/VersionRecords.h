#pragma once

#include <LibDecision/Streams/VersionLedger.h>

#include <optional>
#include <string>
#include <string_view>

namespace Ibisturn {

/// The prefix of the records of software versions, one for each service.
std::string versionsPrefixOf(const std::string& ownPrefix);

/// The key of the record of a service's software versions.
std::string versionsKeyOf(const std::string& ownPrefix, const ServiceId& service);

/// The service whose record `key` is; unset if it is none of a service.
std::optional<ServiceId> serviceOfVersionsKey(const std::string& ownPrefix, std::string_view key);

/// The value of a record in the store.
std::string formatVersions(const std::set<SoftwareVersion>& listed, const std::set<SoftwareVersion>& retiring);

/// Reads a record of the store; unset if it can't be read.
std::optional<VersionRecord> parseVersions(std::string_view value, Revision revision);

/// What counts as the record if it can't be read: no version is listed, and any may have begun streams.
VersionRecord unreadableVersions(Revision revision);

} // namespace Ibisturn
