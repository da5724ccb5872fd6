#pragma once

#include <LibConfiguration/RecordSet.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// A record as declared in a file.
struct Declaration {
    RecordName name;
    /// The record's JSON text.
    std::string json;
    /// The file and line of the declaration.
    std::string source;
};

/// Parses declarations from YAML or JSON text: documents, each a mapping with kind, name and record, or a list of these.
/// Throws SettingsError with file, line and problem. Thread safety: any thread.
std::vector<Declaration> parseDeclarations(const std::string& text, const std::string& fileName);

/// Reads a file, or every .yaml, .yml and .json file below a folder. Throws SettingsError as parseDeclarations() does,
/// and if a record is declared twice. Thread safety: any thread.
std::vector<Declaration> loadDeclarations(const std::string& path);

/// A record as currently stored.
struct CurrentRecord {
    RecordName name;
    std::string json;
    Revision revision;
};

/// The change that brings one record to its declared state.
struct RecordDifference {
    RecordName name;
    /// Unset if the record does not exist yet.
    std::optional<std::string> before;
    /// Unset if the record is to be deleted.
    std::optional<std::string> after;
    /// The revision of the current record; zero if there is none.
    Revision currentRevision;
};

enum class Pruning : std::uint8_t {
    /// Keep records that no file declares.
    Keep,
    /// Delete records that no file declares.
    Delete,
};

/// The differences in dependency order: each record comes after those that it references, with deletions last and in
/// reverse order.
/// Thread safety: any thread.
std::vector<RecordDifference> compareDeclarations(const std::vector<Declaration>& declared, const std::vector<CurrentRecord>& current, Pruning pruning);

} // namespace Ibisturn
