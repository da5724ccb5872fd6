#pragma once

#include <LibCore/Error.h>

namespace Ibisturn {

/// An invalid settings file. The message contains file, line and key.
/// Thread safety: a value type.
class SettingsError : public Error {
public:
    explicit SettingsError(const std::string& message)
        : Error(ResultCode::SettingsInvalid, Ran::No, message)
    {
    }
};

} // namespace Ibisturn
