#include <LibConfiguration/Records.h>

#include <LibCore/Digest.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <array>
#include <functional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

// Larger numbers would overflow or lose precision in the arithmetic of allowances.
constexpr double maxTokens = 1e15;

/// Reads the fields of one record; every error message starts with the record's kind and name.
class RecordReader {
public:
    RecordReader(std::string_view kind, std::string_view name, const nlohmann::json& json)
        : label_(fmt::format("{}/{}", kind, name))
        , json_(json)
    {
        if (!json_.is_object())
            fail("", "must be a JSON object");
    }

    [[noreturn]] void fail(std::string_view field, std::string_view problem) const
    {
        throw Error(ResultCode::RecordInvalid, Ran::No, fmt::format("{}: {} {}", label_, field, problem));
    }

    std::string text(const char* field) const
    {
        const auto found = json_.find(field);
        if (found == json_.end() || !found->is_string() || found->get_ref<const std::string&>().empty())
            fail(field, "must be a non-empty string");
        return found->get<std::string>();
    }

    std::string text(const char* field, const char* fallback) const
    {
        return json_.contains(field) ? text(field) : fallback;
    }

    double number(const char* field) const
    {
        const auto found = json_.find(field);
        if (found == json_.end() || !found->is_number() || found->get<double>() < 0 || found->get<double>() > maxTokens)
            fail(field, fmt::format("must be a number from 0 to {}", maxTokens));
        return found->get<double>();
    }

    std::uint64_t schema() const
    {
        const auto found = json_.find("schema");
        if (found == json_.end() || !found->is_number_unsigned())
            fail("schema", "must be a non-negative integer");
        return found->get<std::uint64_t>();
    }

    template <typename Id>
    std::vector<Id> list(const char* field) const
    {
        std::vector<Id> items;
        const auto found = json_.find(field);
        if (found == json_.end())
            return items;
        if (!found->is_array())
            fail(field, "must be a list of strings");
        for (const auto& item : *found) {
            if (!item.is_string() || item.get_ref<const std::string&>().empty())
                fail(field, "must be a list of non-empty strings");
            items.emplace_back(item.get<std::string>());
        }
        return items;
    }

    template <typename Choice, std::size_t Count>
    Choice choice(const char* field, const char* fallback, const std::array<std::pair<std::string_view, Choice>, Count>& choices) const
    {
        const auto name = text(field, fallback);
        for (const auto& [choiceName, value] : choices) {
            if (name == choiceName)
                return value;
        }
        fail(field, fmt::format("has the unknown value '{}'", name));
    }

private:
    std::string label_;
    const nlohmann::json& json_;
};

constexpr std::array<std::pair<std::string_view, BackendKind>, 2> backendKinds { { { "engine", BackendKind::Engine }, { "service", BackendKind::Service } } };
constexpr std::array<std::pair<std::string_view, RouteAccess>, 2> routeAccesses { { { "workspaces", RouteAccess::Workspaces }, { "open", RouteAccess::OpenToAll } } };
constexpr std::array<std::pair<std::string_view, Repeatability>, 2> repeatabilities { { { "idempotent", Repeatability::Idempotent }, { "non-idempotent", Repeatability::NonIdempotent } } };
constexpr std::array<std::pair<std::string_view, FencingSupport>, 2> fencingSupports { { { "ignored", FencingSupport::Ignored }, { "checked", FencingSupport::Checked } } };
constexpr std::array<std::pair<std::string_view, ResumeSupport>, 2> resumeSupports { { { "unsupported", ResumeSupport::Unsupported }, { "supported", ResumeSupport::Supported } } };

RecordBody readWorkspace(const RecordReader& reader, const std::string& name)
{
    return Workspace { WorkspaceId(name), ResidencyRuleId(reader.text("residency")), TokensPerSecond(reader.number("rate")),
        TokenCount(static_cast<std::int64_t>(reader.number("burst"))) };
}

RecordBody readKey(const RecordReader& reader, const std::string& name)
{
    if (!isDigest(name))
        reader.fail("name", "must be a SHA-256 digest of 64 hexadecimal digits");
    return Key { KeyDigest(name), WorkspaceId(reader.text("workspace")) };
}

RecordBody readResidencyRule(const RecordReader& reader, const std::string& name)
{
    auto regions = reader.list<RegionId>("regions");
    if (regions.empty())
        reader.fail("regions", "must name at least one region");
    return ResidencyRule { ResidencyRuleId(name), std::move(regions) };
}

RecordBody readRoute(const RecordReader& reader, const std::string& name)
{
    Route route;
    route.id = RouteId(name);
    route.pathPrefix = reader.text("path");
    if (route.pathPrefix.front() != '/')
        reader.fail("path", "must begin with /");
    route.model = ModelName(reader.text("model", ""));
    route.kind = reader.choice("kind", "engine", backendKinds);
    route.access = reader.choice("access", "workspaces", routeAccesses);
    route.repeatability = reader.choice("repeatability", "idempotent", repeatabilities);
    route.workspaces = reader.list<WorkspaceId>("workspaces");
    return route;
}

RecordBody readBackendServer(const RecordReader& reader, const std::string& name)
{
    BackendServer server;
    server.id = BackendServerId(name);
    server.kind = reader.choice("kind", "engine", backendKinds);
    const auto endpoint = parseEndpoint(reader.text("endpoint"));
    if (!endpoint)
        reader.fail("endpoint", "must be an IP address and a port");
    server.endpoint = *endpoint;
    server.region = RegionId(reader.text("region"));
    server.dataCentre = DataCentreId(reader.text("data_centre"));
    server.routes = reader.list<RouteId>("routes");
    server.fencing = reader.choice("fencing", "ignored", fencingSupports);
    server.resume = reader.choice("resume", "unsupported", resumeSupports);
    return server;
}

struct RecordKind {
    std::string_view name;
    RecordBody (*read)(const RecordReader&, const std::string&);
};

constexpr std::array<RecordKind, 5> recordKinds { {
    { "workspaces", readWorkspace },
    { "keys", readKey },
    { "residency", readResidencyRule },
    { "routes", readRoute },
    { "backend_servers", readBackendServer },
} };

const RecordKind* findKind(std::string_view name)
{
    const auto* found = std::find_if(recordKinds.begin(), recordKinds.end(), [name](const auto& kind) { return kind.name == name; });
    return found == recordKinds.end() ? nullptr : found;
}

} // namespace

bool isRecordKind(std::string_view kind)
{
    return findKind(kind) != nullptr;
}

UnknownRecord parseUnknownRecord(std::uint64_t schema, std::string_view json)
{
    UnknownRecord record { schema, "/", {} };
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return record;
    const auto path = parsed.find("path");
    if (path != parsed.end() && path->is_string() && path->get_ref<const std::string&>().starts_with('/'))
        record.pathPrefix = path->get<std::string>();
    const auto model = parsed.find("model");
    if (model != parsed.end() && model->is_string())
        record.model = ModelName(model->get<std::string>());
    return record;
}

Record parseRecord(std::string_view kind, std::string_view name, std::string_view json, Revision revision)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    const RecordReader reader(kind, name, parsed);
    const auto* recordKind = findKind(kind);
    if (!recordKind)
        reader.fail("kind", "is unknown");
    Record record { std::string(kind), std::string(name), revision, {} };
    const auto schema = reader.schema();
    if (schema == 0 || schema > newestRecordSchema)
        record.body = parseUnknownRecord(schema, json);
    else
        record.body = recordKind->read(reader, record.name);
    return record;
}

} // namespace Ibisturn
