#pragma once

#include <LibDecision/Dissemination/StatusMessages.h>

namespace Ibisturn {

/// Whether all numbers of a message are possible ones: finite, not negative and not absurdly large. Sums over messages that
/// pass can't overflow. Thread safety: any thread.
bool isPlausible(const InstanceReport& report);
bool isPlausible(const RegionDigest& digest);
bool isPlausible(const FleetDigest& digest);
bool isPlausible(const RegionExchange& exchange);

} // namespace Ibisturn
