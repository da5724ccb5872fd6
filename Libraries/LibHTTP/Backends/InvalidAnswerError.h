#pragma once

#include <LibCore/Error.h>

namespace Ibisturn {

/// What came in place of an answer is not valid HTTP.
class InvalidAnswerError final : public Error {
public:
    using Error::Error;
};

} // namespace Ibisturn
