#include "ExplainCommand.h"

#include <algorithm>
#include <fstream>
#include <ostream>

namespace Ibisturn {

namespace {

constexpr int exitNothingFound = 1;
constexpr int exitUnreadable = 2;

struct FoundLine {
    std::string time;
    std::string file;
    std::string text;
};

} // namespace

int explainRequest(const std::string& request, const std::vector<std::string>& files, std::ostream& output, std::ostream& errors)
{
    const auto field = " request=" + request + " ";
    std::vector<FoundLine> found;
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file) {
            errors << "log file \"" << name << "\" cannot be read\n";
            return exitUnreadable;
        }
        for (std::string line; std::getline(file, line);) {
            if ((line + ' ').find(field) != std::string::npos)
                found.push_back({ line.substr(0, line.find(' ')), name, line });
        }
    }
    // A stable sort keeps an instance's lines with equal times in their order.
    std::stable_sort(found.begin(), found.end(), [](const FoundLine& left, const FoundLine& right) { return left.time < right.time; });
    for (const auto& line : found)
        output << line.file << ": " << line.text << '\n';
    if (!found.empty())
        return 0;
    errors << "no line names request \"" << request << "\"; ordinary successes are written for a sample only\n";
    return exitNothingFound;
}

} // namespace Ibisturn
