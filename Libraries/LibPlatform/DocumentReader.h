#pragma once

#include <LibConfiguration/Records.h>
#include <LibDecision/Registry/RegisteredServer.h>
#include <LibKernel/PluginRegistry.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// A complete configuration as written by operators.
struct ConfigurationDocument {
    std::int64_t version { 0 };
    std::vector<Record> records;
    std::optional<CallerLimits> callers;
};

/// Reads the documents that operators and backend servers keep in a store whose layout this project does not define.
/// Thread safety: one worker.
class DocumentReader {
public:
    virtual ~DocumentReader() = default;

    /// The prefix of the operators' keys.
    virtual std::string operatorsPrefix() const = 0;

    /// The prefix of the backend servers' registry.
    virtual std::string registryPrefix() const = 0;

    /// Whether `key` holds the configuration.
    virtual bool isConfiguration(std::string_view key) const = 0;

    /// The data centre whose evacuation `key` requests; unset if it is another kind of key.
    virtual std::optional<DataCentreId> evacuatedDataCentre(std::string_view key) const = 0;

    /// Parses a configuration. Throws Error with RecordInvalid, which names the invalid part.
    virtual ConfigurationDocument readConfiguration(std::string_view value, Revision revision) const = 0;

    /// Parses an entry of the registry; unset if it is invalid or describes no backend server.
    virtual std::optional<RegisteredServer> readServer(std::string_view key, std::string_view value) const = 0;

    /// The id in a key of the registry.
    virtual BackendServerId serverIdOf(std::string_view key) const = 0;
};

using DocumentReaderRegistry = PluginRegistry<DocumentReader, const Settings&>;

} // namespace Ibisturn
