#include <LibCore/RandomIdentity.h>

#include <random>

namespace Ibisturn {

Incarnation drawIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return Incarnation((high << 32U) | device());
}

std::string drawChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

} // namespace Ibisturn
