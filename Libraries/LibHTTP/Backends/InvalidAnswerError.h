#pragma once

#include <LibCore/Error.h>

namespace Ibisturn {

/// What came in place of an answer is not valid HTTP, or not valid in the dialect of the backend server.
class InvalidAnswerError final : public Error {
public:
    using Error::Error;
};

} // namespace Ibisturn
