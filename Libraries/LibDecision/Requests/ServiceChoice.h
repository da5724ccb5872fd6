#pragma once

#include <LibConfiguration/Records.h>

#include <span>

namespace Ibisturn {

/// Chooses the service for a request by the weights of `shares`; `requestHash` differs between requests and is the same for
/// all attempts of one request. Precondition: `shares` is not empty. Thread safety: any thread.
const ServiceId& chooseService(std::span<const ServiceShare> shares, std::uint64_t requestHash);

} // namespace Ibisturn
