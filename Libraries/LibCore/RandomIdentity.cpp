#include <LibCore/RandomIdentity.h>

#include <random>

namespace Ibisturn {

Incarnation generateIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return Incarnation((high << 32U) | device());
}

std::string generateChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

} // namespace Ibisturn
