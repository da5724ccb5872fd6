#include <LibConfiguration/Declarations.h>

#include <LibConfiguration/SettingsError.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace Ibisturn {

namespace {

/// Record kinds in dependency order: each kind comes after those that it references.
constexpr std::array<std::string_view, 5> kindOrder { "residency", "workspaces", "keys", "routes", "backend_servers" };

std::ptrdiff_t rankOf(const std::string& kind)
{
    return std::find(kindOrder.begin(), kindOrder.end(), kind) - kindOrder.begin();
}

std::string labelOf(const RecordName& name)
{
    return name.kind + "/" + name.name;
}

std::string locationOf(const std::string& fileName, const YAML::Mark& mark)
{
    return fmt::format("{}:{}", fileName, mark.line + 1);
}

nlohmann::json scalarToJson(const YAML::Node& node)
{
    // A quoted scalar has the tag "!" and is always a string.
    const auto& text = node.Scalar();
    if (node.Tag() == "!")
        return text;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_number() || json.is_boolean() ? json : nlohmann::json(text);
}

nlohmann::json toJson(const YAML::Node& node)
{
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        auto list = nlohmann::json::array();
        for (const auto& item : node)
            list.push_back(toJson(item));
        return list;
    }
    if (!node.IsMap())
        return nullptr;
    auto object = nlohmann::json::object();
    for (const auto& entry : node)
        object[entry.first.Scalar()] = toJson(entry.second);
    return object;
}

Declaration readDeclaration(const YAML::Node& node, const std::string& fileName)
{
    const auto location = locationOf(fileName, node.Mark());
    const bool isWellFormed = node.IsMap() && node["kind"] && node["kind"].IsScalar() && node["name"] && node["name"].IsScalar() && node["record"] && node["record"].IsMap();
    if (!isWellFormed)
        throw SettingsError(location + ": must be a mapping with kind, name and record");
    const RecordName name { node["kind"].Scalar(), node["name"].Scalar() };
    if (!isRecordKind(name.kind))
        throw SettingsError(fmt::format("{}: kind '{}' is unknown", location, name.kind));
    return { name, toJson(node["record"]).dump(), location };
}

std::string readFile(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        throw SettingsError(path + ": the file cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> declarationFiles(const std::string& path)
{
    if (!std::filesystem::is_directory(path))
        return { path };
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(path)) {
        const auto extension = entry.path().extension();
        if (entry.is_regular_file() && (extension == ".yaml" || extension == ".yml" || extension == ".json"))
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

bool isSameJson(const std::string& left, const std::string& right)
{
    return nlohmann::json::parse(left, nullptr, false) == nlohmann::json::parse(right, nullptr, false);
}

} // namespace

std::vector<Declaration> parseDeclarations(const std::string& text, const std::string& fileName)
{
    std::vector<Declaration> declarations;
    try {
        for (const auto& document : YAML::LoadAll(text)) {
            if (document.IsNull())
                continue;
            if (!document.IsSequence()) {
                declarations.push_back(readDeclaration(document, fileName));
                continue;
            }
            for (const auto& item : document)
                declarations.push_back(readDeclaration(item, fileName));
        }
    } catch (const YAML::Exception& error) {
        throw SettingsError(fmt::format("{}: {}", locationOf(fileName, error.mark), error.msg));
    }
    return declarations;
}

std::vector<Declaration> loadDeclarations(const std::string& path)
{
    std::vector<Declaration> all;
    std::map<std::string, std::string> sources;
    for (const auto& file : declarationFiles(path)) {
        for (auto& declaration : parseDeclarations(readFile(file), file)) {
            const auto [other, isNew] = sources.emplace(labelOf(declaration.name), declaration.source);
            if (!isNew)
                throw SettingsError(fmt::format("{}: {} is already declared at {}", declaration.source, other->first, other->second));
            all.push_back(std::move(declaration));
        }
    }
    return all;
}

std::vector<RecordDifference> compareDeclarations(const std::vector<Declaration>& declared, const std::vector<CurrentRecord>& current, Pruning pruning)
{
    std::map<std::string, const CurrentRecord*> currentByLabel;
    for (const auto& record : current)
        currentByLabel[labelOf(record.name)] = &record;
    std::vector<RecordDifference> differences;
    for (const auto& declaration : declared) {
        const auto found = currentByLabel.find(labelOf(declaration.name));
        if (found == currentByLabel.end()) {
            differences.push_back({ declaration.name, {}, declaration.json, Revision(0) });
            continue;
        }
        const auto& record = *found->second;
        if (!isSameJson(record.json, declaration.json))
            differences.push_back({ declaration.name, record.json, declaration.json, record.revision });
        currentByLabel.erase(found);
    }
    for (const auto& [label, record] : currentByLabel) {
        if (pruning == Pruning::Delete)
            differences.push_back({ record->name, record->json, {}, record->revision });
    }
    const auto isBefore = [](const RecordDifference& left, const RecordDifference& right) {
        if (left.after.has_value() != right.after.has_value())
            return left.after.has_value();
        const auto leftRank = rankOf(left.name.kind);
        const auto rightRank = rankOf(right.name.kind);
        return left.after ? leftRank < rightRank : leftRank > rightRank;
    };
    std::stable_sort(differences.begin(), differences.end(), isBefore);
    return differences;
}

} // namespace Ibisturn
