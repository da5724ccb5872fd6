#pragma once

#include <LibConfiguration/RecordSet.h>

#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// A record as a file declares it.
struct Declaration {
    RecordName name;
    /// The record's JSON text.
    std::string json;
    /// The file and line that declare it.
    std::string source;
};

/// Reads declarations from YAML or JSON text: documents, each a mapping with kind, name and record, or a list of such.
/// Throws SettingsError, which names file, line and what is wrong. Thread safety: any thread.
std::vector<Declaration> parseDeclarations(const std::string& text, const std::string& fileName);

/// Reads a file, or every .yaml, .yml and .json file below a folder. Throws SettingsError as parseDeclarations() does,
/// and if two files declare one record. Thread safety: any thread.
std::vector<Declaration> loadDeclarations(const std::string& path);

/// A record as it is in force.
struct PresentRecord {
    RecordName name;
    std::string json;
    Revision revision;
};

/// What has to change to make one record as declared.
struct RecordDifference {
    RecordName name;
    /// Nothing if there is no such record.
    std::optional<std::string> before;
    /// Nothing if the record has to go.
    std::optional<std::string> after;
    /// The revision of the present record; zero if there is none.
    Revision seen;
};

enum class Pruning : std::uint8_t {
    /// Records that no file declares stay.
    Keep,
    /// Records that no file declares go.
    Delete,
};

/// The differences in an order in which each record comes after those that it names, and deletions last.
/// Thread safety: any thread.
std::vector<RecordDifference> compareDeclarations(const std::vector<Declaration>& declared, const std::vector<PresentRecord>& present, Pruning pruning);

} // namespace Ibisturn
