#include <LibDecision/Requests/ServiceChoice.h>

namespace Ibisturn {

const ServiceId& chooseService(std::span<const ServiceShare> shares, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const auto& share : shares)
        total += share.weight;
    if (total == 0)
        return shares.front().service;
    auto point = requestHash % total;
    for (const auto& share : shares) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return shares.back().service;
}

} // namespace Ibisturn
