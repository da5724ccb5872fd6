#pragma once

#include <LibConfiguration/Settings.h>

#include <memory>
#include <set>
#include <string>

#include <yaml-cpp/yaml.h>

namespace Ibisturn {

/// Reads one mapping of a YAML file and records which keys were read, so that unknown keys can be rejected.
/// Every accessor throws SettingsError with file, line and key. Thread safety: one thread.
class SettingsSection {
public:
    /// Precondition: `node` is the value of `path`, or undefined if it is absent from the file; `enclosingMark` is
    /// the position of the enclosing mapping.
    SettingsSection(std::string fileName, std::string path, const YAML::Node& node, const YAML::Mark& enclosingMark);

    /// Whether the file has this section.
    bool isPresent() const;

    /// The section below `key`, which may be absent.
    SettingsSection section(const std::string& key);

    /// The value of the required `key`.
    std::string text(const std::string& key);
    Endpoint endpoint(const std::string& key);
    std::vector<Endpoint> endpoints(const std::string& key);
    std::vector<SettingsSection> sections(const std::string& key);

    /// The value of `key`, or `fallback` if it is absent.
    std::string text(const std::string& key, const std::string& fallback);
    Duration duration(const std::string& key, Duration fallback);
    ByteCount size(const std::string& key, ByteCount fallback, ByteCount maximum);
    double decimal(const std::string& key, double fallback, double minimum, double maximum);
    std::uint32_t number(const std::string& key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum);

    /// Like the accessors above, for values that a platform fills into a template: an empty value counts as absent, a
    /// fraction is rounded down, and a value above the maximum is limited to it. Each such adjustment is recorded in
    /// adjustments(). Negative values and text are still errors.
    double suppliedDecimal(const std::string& key, double fallback, double maximum);
    std::uint32_t suppliedNumber(const std::string& key, std::uint32_t fallback, std::uint32_t maximum);
    /// A zero duration is replaced by `fallback`.
    Duration suppliedPeriod(const std::string& key, Duration fallback);
    /// A zero duration is kept.
    Duration suppliedGrace(const std::string& key, Duration fallback);

    /// The adjustments made by this section and all sections read from it, as messages with file, line and key.
    const std::vector<std::string>& adjustments() const { return *adjustments_; }

    /// Rejects unknown keys, which no accessor has read, and duplicate keys. Call it after all accessors.
    void rejectUnknownKeys() const;

    /// Throws SettingsError for `key`.
    [[noreturn]] void fail(const std::string& key, const std::string& problem) const;

private:
    YAML::Node find(const std::string& key);
    YAML::Node require(const std::string& key);
    std::string scalar(const std::string& key, const YAML::Node& node) const;
    std::optional<double> suppliedValue(const std::string& key, std::string_view unit, const std::string& fallback);
    std::optional<Duration> suppliedDuration(const std::string& key, const std::string& fallback);
    void recordAdjustment(const std::string& key, const std::string& adjustment);
    std::string location(const YAML::Mark& mark, const std::string& key) const;
    [[noreturn]] void failAt(const YAML::Mark& mark, const std::string& key, const std::string& problem) const;

    std::string fileName_;
    std::string path_;
    YAML::Node node_;
    /// The start of the section, or of the enclosing mapping if the section is absent.
    YAML::Mark mark_;
    std::set<std::string> known_;
    /// Shared with the sections read from this one.
    std::shared_ptr<std::vector<std::string>> adjustments_ { std::make_shared<std::vector<std::string>>() };
};

} // namespace Ibisturn
