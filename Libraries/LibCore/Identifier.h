#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace Ibisturn {

/// A string identifier of one kind of object. Identifiers of different kinds are distinct types.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template <typename Tag>
class Identifier {
public:
    /// Creates an empty identifier, which refers to no object.
    Identifier() = default;

    /// Wraps `value`, which may be empty.
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    /// The text of the identifier.
    const std::string& value() const { return value_; }

    /// Whether the identifier refers to no object.
    bool isEmpty() const { return value_.empty(); }

    auto operator<=>(const Identifier&) const = default;

private:
    std::string value_;
};

using BackendServerId = Identifier<struct BackendServerTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
using InstanceId = Identifier<struct InstanceTag>;
using KeyDigest = Identifier<struct KeyDigestTag>;
using ModelName = Identifier<struct ModelTag>;
using RegionId = Identifier<struct RegionTag>;
using ResidencyRuleId = Identifier<struct ResidencyRuleTag>;
using RouteId = Identifier<struct RouteTag>;
using ServiceId = Identifier<struct ServiceTag>;
/// The version of a backend server's software; versions have no order.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;

} // namespace Ibisturn

template <typename Tag>
struct std::hash<Ibisturn::Identifier<Tag>> {
    std::size_t operator()(const Ibisturn::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.value());
    }
};

template <typename Tag>
struct fmt::formatter<Ibisturn::Identifier<Tag>> : fmt::formatter<std::string> {
    template <typename Context>
    auto format(const Ibisturn::Identifier<Tag>& identifier, Context& context) const
    {
        return fmt::format_to(context.out(), "{}", identifier.value());
    }
};
