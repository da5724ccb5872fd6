#pragma once

#include <LibCore/Error.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Ibisturn {

/// The plug-ins of one kind, by name. Plug-ins register themselves before main() begins.
/// Thread safety: register before threads start; afterwards all methods from any thread.
template <typename Interface, typename... Arguments>
class PluginRegistry {
public:
    using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

    /// The registry of this plug-in kind.
    static PluginRegistry& instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    /// Adds a plug-in. Precondition: no other has this name.
    void add(std::string name, Factory factory) { factories_.emplace(std::move(name), std::move(factory)); }

    /// Creates the plug-in named `name`; null if there is none.
    std::unique_ptr<Interface> make(const std::string& name, Arguments... arguments) const
    {
        const auto found = factories_.find(name);
        return found == factories_.end() ? nullptr : found->second(std::forward<Arguments>(arguments)...);
    }

    /// Creates the plug-in named `name`. Throws Error with SettingsInvalid if there is none; its message uses `kind`.
    std::unique_ptr<Interface> require(std::string_view kind, const std::string& name, Arguments... arguments) const
    {
        auto plugin = make(name, std::forward<Arguments>(arguments)...);
        if (!plugin)
            throw Error(ResultCode::SettingsInvalid, Ran::No, fmt::format("There is no {} named {}", kind, name));
        return plugin;
    }

    /// The names of all plug-ins, sorted.
    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, factory] : factories_)
            names.push_back(name);
        return names;
    }

private:
    std::map<std::string, Factory> factories_;
};

/// Registers a plug-in when it is constructed, as a static object of the plug-in's source file.
/// Thread safety: construct before threads start.
template <typename Registry>
class PluginRegistration {
public:
    /// Precondition: no other plug-in of the registry has this name.
    PluginRegistration(std::string name, typename Registry::Factory factory)
    {
        Registry::instance().add(std::move(name), std::move(factory));
    }
};

} // namespace Ibisturn
