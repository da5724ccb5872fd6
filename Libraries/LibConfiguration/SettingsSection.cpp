#include <LibConfiguration/SettingsSection.h>

#include <LibConfiguration/SettingsError.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

struct Unit {
    std::string_view suffix;
    std::uint64_t factor;
};

// Longer suffixes first, so that "ms" is not parsed as "s".
constexpr std::array<Unit, 4> durationUnits { { { "ms", 1'000'000 }, { "us", 1'000 }, { "min", 60'000'000'000 }, { "s", 1'000'000'000 } } };
constexpr std::array<Unit, 4> sizeUnits { { { "KiB", 1024 }, { "MiB", 1024 * 1024 }, { "GiB", 1024 * 1024 * 1024 }, { "B", 1 } } };

// Sums of a few such durations and the current time must not overflow.
constexpr std::uint64_t maxDuration = 1440 * 60'000'000'000;

template <std::size_t Count>
std::optional<std::uint64_t> parseWithUnit(std::string_view text, const std::array<Unit, Count>& units)
{
    std::uint64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc {})
        return std::nullopt;
    const auto suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& unit : units) {
        if (suffix != unit.suffix)
            continue;
        if (count > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()) / unit.factor)
            return std::nullopt;
        return count * unit.factor;
    }
    return std::nullopt;
}

} // namespace

SettingsSection::SettingsSection(std::string fileName, std::string path, const YAML::Node& node, const YAML::Mark& enclosingMark)
    : fileName_(std::move(fileName))
    , path_(std::move(path))
    , node_(node)
    , mark_(node.IsDefined() ? node.Mark() : enclosingMark)
{
    if (node_.IsDefined() && !node_.IsMap())
        failAt(node_.Mark(), path_, "must be a mapping");
}

bool SettingsSection::isPresent() const
{
    return node_.IsDefined();
}

SettingsSection SettingsSection::section(const std::string& key)
{
    SettingsSection child(fileName_, path_.empty() ? key : path_ + "." + key, find(key), mark_);
    child.adjustments_ = adjustments_;
    return child;
}

std::string SettingsSection::text(const std::string& key)
{
    return scalar(key, require(key));
}

std::string SettingsSection::text(const std::string& key, const std::string& fallback)
{
    const auto node = find(key);
    return node.IsDefined() ? scalar(key, node) : fallback;
}

Endpoint SettingsSection::endpoint(const std::string& key)
{
    const auto endpoint = parseEndpoint(text(key));
    if (!endpoint)
        fail(key, "must be an IP address and a port, such as 127.0.0.1:8080");
    return *endpoint;
}

std::vector<Endpoint> SettingsSection::endpoints(const std::string& key)
{
    const auto list = require(key);
    if (!list.IsSequence() || list.size() == 0)
        fail(key, "must be a list of at least one IP address and port");
    std::vector<Endpoint> endpoints;
    for (const auto& item : list) {
        const auto endpoint = parseEndpoint(scalar(key, item));
        if (!endpoint)
            fail(key, "must hold an IP address and a port in each item, such as 127.0.0.1:8080");
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::vector<SettingsSection> SettingsSection::sections(const std::string& key)
{
    const auto list = find(key);
    std::vector<SettingsSection> sections;
    if (!list.IsDefined())
        return sections;
    if (!list.IsSequence())
        fail(key, "must be a list");
    for (const auto& item : list) {
        sections.emplace_back(fileName_, path_ + "." + key, item, mark_);
        sections.back().adjustments_ = adjustments_;
    }
    return sections;
}

Duration SettingsSection::duration(const std::string& key, Duration fallback)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return fallback;
    const auto nanoseconds = parseWithUnit(scalar(key, node), durationUnits);
    if (!nanoseconds || *nanoseconds == 0)
        fail(key, "must be a positive duration with a unit (us, ms, s, min), such as 250ms");
    if (*nanoseconds > maxDuration)
        fail(key, "must be at most 1440min");
    return Duration(static_cast<Duration::rep>(*nanoseconds));
}

ByteCount SettingsSection::size(const std::string& key, ByteCount fallback, ByteCount maximum)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return fallback;
    const auto bytes = parseWithUnit(scalar(key, node), sizeUnits);
    if (!bytes || *bytes == 0)
        fail(key, "must be a positive size with a unit (B, KiB, MiB, GiB), such as 64KiB");
    if (*bytes > maximum.count())
        fail(key, fmt::format("must be at most {}B", maximum.count()));
    return ByteCount(*bytes);
}

double SettingsSection::decimal(const std::string& key, double fallback, double minimum, double maximum)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return fallback;
    const auto digits = scalar(key, node);
    double value = 0;
    const auto* last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, value);
    if (error != std::errc {} || end != last || !(value >= minimum && value <= maximum))
        fail(key, fmt::format("must be a number from {} to {}", minimum, maximum));
    return value;
}

std::uint32_t SettingsSection::number(const std::string& key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return fallback;
    const auto digits = scalar(key, node);
    std::uint32_t value = 0;
    const auto* last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, value);
    if (error != std::errc {} || end != last || value < minimum || value > maximum)
        fail(key, fmt::format("must be a whole number from {} to {}", minimum, maximum));
    return value;
}

double SettingsSection::suppliedDecimal(const std::string& key, double fallback, double maximum)
{
    const auto value = suppliedValue(key, "", fmt::format("{}", fallback));
    if (!value)
        return fallback;
    if (*value > maximum)
        recordAdjustment(key, fmt::format("{} is limited to {}", *value, maximum));
    return std::min(*value, maximum);
}

std::uint32_t SettingsSection::suppliedNumber(const std::string& key, std::uint32_t fallback, std::uint32_t maximum)
{
    const auto value = suppliedValue(key, "", fmt::format("{}", fallback));
    if (!value)
        return fallback;
    if (*value > maximum) {
        recordAdjustment(key, fmt::format("{} is limited to {}", *value, maximum));
        return maximum;
    }
    const auto whole = std::floor(*value);
    if (whole != *value)
        recordAdjustment(key, fmt::format("{} is rounded down to {}", *value, whole));
    return static_cast<std::uint32_t>(whole);
}

Duration SettingsSection::suppliedPeriod(const std::string& key, Duration fallback)
{
    const auto fallbackText = fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count());
    const auto value = suppliedDuration(key, fallbackText);
    if (value && *value == Duration::zero())
        recordAdjustment(key, fmt::format("must not be zero; {} is used", fallbackText));
    return value && *value > Duration::zero() ? *value : fallback;
}

Duration SettingsSection::suppliedGrace(const std::string& key, Duration fallback)
{
    const auto fallbackText = fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count());
    return suppliedDuration(key, fallbackText).value_or(fallback);
}

std::optional<Duration> SettingsSection::suppliedDuration(const std::string& key, const std::string& fallback)
{
    constexpr double nanosecondsPerMillisecond = 1e6;
    constexpr double millisecondsPerSecond = 1e3;
    const auto text = std::as_const(node_).IsDefined() && std::as_const(node_)[key].IsScalar() ? std::as_const(node_)[key].Scalar() : std::string();
    const auto isMilliseconds = text.ends_with("ms");
    const auto value = suppliedValue(key, isMilliseconds ? "ms" : "s", fallback);
    if (!value)
        return std::nullopt;
    const auto nanoseconds = *value * nanosecondsPerMillisecond * (isMilliseconds ? 1 : millisecondsPerSecond);
    if (nanoseconds <= static_cast<double>(maxDuration))
        return Duration(static_cast<Duration::rep>(nanoseconds));
    recordAdjustment(key, fmt::format("{} is limited to 1440min", text));
    return Duration(static_cast<Duration::rep>(maxDuration));
}

// Returns nullopt, and records that `fallback` is used, if the platform supplied no value: the text is empty apart from `unit`.
std::optional<double> SettingsSection::suppliedValue(const std::string& key, std::string_view unit, const std::string& fallback)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return std::nullopt;
    if (!node.IsNull() && !node.IsScalar())
        fail(key, "must be a single value");
    const auto text = node.IsNull() ? std::string() : node.Scalar();
    if (text.empty() || text == unit) {
        recordAdjustment(key, fmt::format("has no value; {} is used", fallback));
        return std::nullopt;
    }
    const auto digits = std::string_view(text).substr(0, text.size() - (text.ends_with(unit) ? unit.size() : 0));
    double value = 0;
    const auto* last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, value);
    const bool hasUnit = text.ends_with(unit);
    if (error != std::errc {} || end != last || !hasUnit || !std::isfinite(value) || value < 0)
        fail(key, unit.empty() ? "must be a number that is not negative" : "must be a duration with a unit (ms, s), such as 250ms");
    return value;
}

void SettingsSection::recordAdjustment(const std::string& key, const std::string& adjustment)
{
    const auto node = node_.IsDefined() ? std::as_const(node_)[key] : node_;
    const auto mark = node.IsDefined() ? node.Mark() : mark_;
    adjustments_->push_back(location(mark, path_.empty() ? key : path_ + "." + key) + " " + adjustment);
}

void SettingsSection::rejectUnknownKeys() const
{
    if (!node_.IsDefined())
        return;
    std::set<std::string> seen;
    for (const auto& entry : node_) {
        const auto key = entry.first.Scalar();
        if (!seen.insert(key).second)
            failAt(entry.first.Mark(), path_.empty() ? key : path_ + "." + key, "is set twice");
        if (!known_.contains(key))
            failAt(entry.first.Mark(), path_.empty() ? key : path_ + "." + key, "is not a known setting");
    }
}

void SettingsSection::fail(const std::string& key, const std::string& problem) const
{
    const auto node = node_.IsDefined() ? node_[key] : node_;
    const auto fullKey = path_.empty() ? key : path_ + "." + key;
    if (node.IsDefined())
        failAt(node.Mark(), fullKey, problem);
    failAt(mark_, fullKey, problem);
}

YAML::Node SettingsSection::find(const std::string& key)
{
    known_.insert(key);
    if (!node_.IsDefined())
        return YAML::Node(YAML::NodeType::Undefined);
    return std::as_const(node_)[key];
}

YAML::Node SettingsSection::require(const std::string& key)
{
    auto node = find(key);
    if (!node.IsDefined())
        fail(key, "is missing");
    return node;
}

std::string SettingsSection::scalar(const std::string& key, const YAML::Node& node) const
{
    if (!node.IsScalar() || node.Scalar().empty())
        failAt(node.Mark(), path_.empty() ? key : path_ + "." + key, "must be a single value");
    return node.Scalar();
}

void SettingsSection::failAt(const YAML::Mark& mark, const std::string& key, const std::string& problem) const
{
    throw SettingsError(location(mark, key) + " " + problem);
}

std::string SettingsSection::location(const YAML::Mark& mark, const std::string& key) const
{
    const auto line = mark.line < 0 ? 1 : mark.line + 1;
    return fmt::format("{}:{}: {}", fileName_, line, key);
}

} // namespace Ibisturn
