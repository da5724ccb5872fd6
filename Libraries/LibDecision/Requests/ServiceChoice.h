#pragma once

#include <LibConfiguration/Records.h>

#include <span>

namespace Ibisturn {

/// Chooses the service for a request by the weights of `shares`; `spread` differs between requests and is the same for
/// all attempts of one request. Precondition: `shares` is not empty. Thread safety: any thread.
const ServiceId& chooseService(std::span<const ServiceShare> shares, std::uint64_t spread);

} // namespace Ibisturn
