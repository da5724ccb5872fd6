#include <LibConfiguration/RecordCheck.h>

#include <algorithm>
#include <map>

namespace Ibisturn {

namespace {

/// Checks the references of each record against the other records of a set.
class RecordChecker {
public:
    explicit RecordChecker(const std::vector<Record>& records)
    {
        for (const auto& record : records)
            records_[record.kind][record.name] = &record;
    }

    void check(const Record& record)
    {
        current_ = &record;
        std::visit([this](const auto& body) { checkBody(body); }, record.body);
    }

    std::vector<RecordProblem> takeProblems()
    {
        std::sort(problems_.begin(), problems_.end());
        return std::move(problems_);
    }

private:
    void checkBody(const Workspace& workspace) { require("residency", "residency", workspace.residency.value()); }

    void checkBody(const Key& key) { require("workspace", "workspaces", key.workspace.value()); }

    void checkBody(const Route& route)
    {
        for (const auto& workspace : route.workspaces)
            require("workspaces", "workspaces", workspace.value());
    }

    void checkBody(const BackendServer& server)
    {
        for (const auto& route : server.routes) {
            const auto* record = require("routes", "routes", route.value());
            const auto* body = record ? std::get_if<Route>(&record->body) : nullptr;
            if (body && body->kind != server.kind)
                report("routes", fmt::format("names the route '{}', which is of another kind", route));
        }
    }

    void checkBody(const ResidencyRule& /*rule*/) { }
    void checkBody(const Service& /*service*/) { }
    void checkBody(const UnknownRecord& /*record*/) { }

    const Record* require(const char* field, const char* kind, const std::string& name)
    {
        const auto& recordsOfKind = records_[kind];
        const auto found = recordsOfKind.find(name);
        if (found != recordsOfKind.end())
            return found->second;
        report(field, fmt::format("names {}/{}, which does not exist", kind, name));
        return nullptr;
    }

    void report(const char* field, std::string problem) { problems_.push_back({ current_->kind, current_->name, field, std::move(problem) }); }

    std::map<std::string, std::map<std::string, const Record*>> records_;
    const Record* current_ { nullptr };
    std::vector<RecordProblem> problems_;
};

} // namespace

std::string RecordProblem::toString() const
{
    return fmt::format("{}/{}: {} {}", kind, name, field, problem);
}

std::vector<RecordProblem> checkRecords(const std::vector<Record>& records)
{
    RecordChecker checker(records);
    for (const auto& record : records)
        checker.check(record);
    return checker.takeProblems();
}

} // namespace Ibisturn
