#pragma once

#include <LibCore/Error.h>
#include <LibPlatform/DocumentReader.h>

#include <string>

namespace Ibisturn::Model {

/// Reads documents that consist of one name: a configuration is the name of its only workspace, a registry entry that of its
/// service; the value "broken" is invalid, and the value "leaving" makes a server draining.
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
        return { 1, { { "workspaces", workspace.id.value(), revision, workspace } }, std::nullopt };
    }

    std::optional<RegisteredServer> readServer(std::string_view key, std::string_view value) const override
    {
        if (value == "broken")
            return std::nullopt;
        RegisteredServer server;
        server.id = serverIdOf(key);
        server.service = ServiceId(std::string(value));
        server.dataCentre = DataCentreId("khomas-a");
        server.state = value == "leaving" ? RegistrationState::Draining : RegistrationState::Ready;
        return server;
    }

    BackendServerId serverIdOf(std::string_view key) const override { return BackendServerId(std::string(key.substr(8))); }
};

} // namespace Ibisturn::Model
