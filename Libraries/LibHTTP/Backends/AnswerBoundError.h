#pragma once

#include <LibCore/Error.h>

namespace Ibisturn {

/// An answer, or what came in place of one, exceeded a bound of what an instance reads. Its connection is closed.
class AnswerBoundError final : public Error {
public:
    using Error::Error;
};

} // namespace Ibisturn
