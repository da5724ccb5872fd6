#include <LibCore/Error.h>

namespace Ibisturn {

std::string_view ranName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Unknown:
        return "unknown";
    case Ran::Yes:
        return "yes";
    }
    return "unknown";
}

Error::Error(ResultCode code, Ran ran, const std::string& message)
    : std::runtime_error(message)
    , code_(code)
    , ran_(ran)
{
}

} // namespace Ibisturn
