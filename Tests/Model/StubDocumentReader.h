#pragma once

#include <LibCore/Error.h>
#include <LibPlatform/DocumentReader.h>

#include <algorithm>
#include <string>

namespace Ibisturn::Model {

/// Reads documents that consist of one name: a configuration is the name of its only workspace, a registry entry that of its
/// service; the value "broken" is invalid, and the value "leaving" makes a server draining. A number after the name is the version of the
/// configuration, or after a "#" the sequence number of the entry.
class StubDocumentReader : public DocumentReader {
public:
    std::string operatorsPrefix() const override { return "op/"; }
    std::string registryPrefix() const override { return "servers/"; }
    bool isConfiguration(std::string_view key) const override { return key == "op/config"; }

    std::optional<DataCentreId> evacuatedDataCentre(std::string_view key) const override
    {
        return key.starts_with("op/evacuate/") ? std::optional(DataCentreId(std::string(key.substr(12)))) : std::nullopt;
    }

    ConfigurationDocument readConfiguration(std::string_view value, Revision revision) const override
    {
        if (value == "broken")
            throw Error(ResultCode::RecordInvalid, Ran::No, "broken");
        Workspace workspace;
        workspace.id = WorkspaceId(std::string(value));
        return { numberAtEnd(value).value_or(1), { { "workspaces", workspace.id.value(), revision, workspace } }, std::nullopt };
    }

    std::optional<RegisteredServer> readServer(std::string_view key, std::string_view value) const override
    {
        if (value == "broken")
            return std::nullopt;
        const auto name = value.substr(0, value.find('#'));
        RegisteredServer server;
        server.id = serverIdOf(key);
        server.service = ServiceId(std::string(name));
        server.dataCentre = DataCentreId("khomas-a");
        server.sequence = name.size() < value.size() ? numberAtEnd(value).value_or(0) : 0;
        server.state = name == "leaving" ? RegistrationState::Draining : RegistrationState::Ready;
        return server;
    }

    BackendServerId serverIdOf(std::string_view key) const override { return BackendServerId(std::string(key.substr(8))); }

private:
    static std::optional<std::int64_t> numberAtEnd(std::string_view text)
    {
        const auto digits = text.substr(std::min(text.size(), text.find_last_not_of("0123456789") + 1));
        return digits.empty() ? std::nullopt : std::optional(std::stoll(std::string(digits)));
    }
};

} // namespace Ibisturn::Model
