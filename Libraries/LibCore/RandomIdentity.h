#pragma once

#include <LibCore/Quantity.h>

#include <string>

namespace Ibisturn {

/// Generates the random incarnation of an instance or connection; two of them collide with a probability of 2^-64.
/// Thread safety: any thread.
Incarnation generateIncarnation();

/// Generates the id of a change of records, 24 hexadecimal digits. Thread safety: any thread.
std::string generateChangeId();

} // namespace Ibisturn
