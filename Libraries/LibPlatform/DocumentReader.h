#pragma once

#include <LibConfiguration/Records.h>
#include <LibDecision/Registry/RegisteredServer.h>
#include <LibKernel/PluginRegistry.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// A whole configuration as operators wrote it.
struct ConfigurationDocument {
    std::int64_t version { 0 };
    std::vector<Record> records;
    std::optional<CallerLimits> callers;
};

/// Reads the documents that operators and backend servers keep in a store whose layout is not ours.
/// Thread safety: one worker.
class DocumentReader {
public:
    virtual ~DocumentReader() = default;

    /// The prefix of the operators' keys.
    virtual std::string operatorsPrefix() const = 0;

    /// The prefix of the backend servers' registry.
    virtual std::string registryPrefix() const = 0;

    /// Whether `key` holds the whole configuration.
    virtual bool isConfiguration(std::string_view key) const = 0;

    /// The data centre that `key` asks to evacuate; nothing if it is another kind of key.
    virtual std::optional<DataCentreId> evacuatedBy(std::string_view key) const = 0;

    /// A configuration. Throws Error with RecordInvalid, which names what can't be read.
    virtual ConfigurationDocument readConfiguration(std::string_view value, Revision revision) const = 0;

    /// The backend server that an entry of the registry names; nothing if it can't be read or names none.
    virtual std::optional<RegisteredServer> readServer(std::string_view key, std::string_view value) const = 0;

    /// The id in a key of the registry.
    virtual BackendServerId serverIdOf(std::string_view key) const = 0;
};

using DocumentReaderRegistry = PluginRegistry<DocumentReader, const Settings&>;

} // namespace Ibisturn
