#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Ibisturn {

/// Prints the log lines of `request` in all `files`, sorted by time, each prefixed with the name of its file.
/// Returns the exit code: 0 for success, 1 if no line names the request, 2 if a file can't be read.
int explainRequest(const std::string& request, const std::vector<std::string>& files, std::ostream& output, std::ostream& errors);

} // namespace Ibisturn
