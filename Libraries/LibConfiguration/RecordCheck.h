#pragma once

#include <LibConfiguration/Records.h>

#include <string>
#include <vector>

namespace Ibisturn {

/// What is wrong with one field of one record within its set.
struct RecordProblem {
    std::string kind;
    std::string name;
    std::string field;
    std::string problem;

    auto operator<=>(const RecordProblem&) const = default;

    /// `KIND/NAME: FIELD PROBLEM`.
    std::string toString() const;
};

/// Checks that the records name only records that exist and fit; sorted. A record of an unknown schema version
/// exists, and what it names is not checked. Thread safety: any thread.
std::vector<RecordProblem> checkRecords(const std::vector<Record>& records);

} // namespace Ibisturn
