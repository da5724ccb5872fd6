#pragma once

#include <LibConfiguration/Records.h>

#include <string>
#include <vector>

namespace Ibisturn {

/// A problem with one field of a record.
struct RecordProblem {
    std::string kind;
    std::string name;
    std::string field;
    std::string problem;

    auto operator<=>(const RecordProblem&) const = default;

    /// `KIND/NAME: FIELD PROBLEM`.
    std::string toString() const;
};

/// Checks that records refer only to records that exist and match; the problems are sorted. A record of an unknown
/// schema version counts as existing, and its own references are not checked. Thread safety: any thread.
std::vector<RecordProblem> checkRecords(const std::vector<Record>& records);

} // namespace Ibisturn
