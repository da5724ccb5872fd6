#pragma once

#include <LibCore/Error.h>

namespace Ibisturn {

/// A settings file that is not valid. The message names file, line and key.
/// Thread safety: a value type.
class SettingsError : public Error {
public:
    /// Precondition: none.
    explicit SettingsError(const std::string& message)
        : Error(ResultCode::SettingsInvalid, Ran::No, message)
    {
    }
};

} // namespace Ibisturn
