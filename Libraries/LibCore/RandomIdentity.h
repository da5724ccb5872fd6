#pragma once

#include <LibCore/Quantity.h>

#include <string>

namespace Ibisturn {

/// The number of a new life of an instance or connection; two lives draw the same once in 2^64.
/// Thread safety: any thread.
Incarnation drawIncarnation();

/// The id of a new change of records, 24 hexadecimal digits. Thread safety: any thread.
std::string drawChangeId();

} // namespace Ibisturn
