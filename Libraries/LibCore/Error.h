#pragma once

#include <LibCore/ResultCode.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace Ibisturn {

/// Whether a request that failed may have reached a backend server.
enum class Ran : std::uint8_t {
    No,
    Unknown,
    Yes,
};

/// The name of `ran` as callers see it. Thread safety: any thread.
std::string_view ranName(Ran ran);

/// A failure with a numbered result code.
/// Thread safety: a value type.
class Error : public std::runtime_error {
public:
    /// Precondition: `message` contains no key and no prompt text.
    Error(ResultCode code, Ran ran, const std::string& message);

    /// The numbered result.
    ResultCode code() const { return code_; }

    /// Whether the request may have been executed.
    Ran ran() const { return ran_; }

    /// Sets the delay after which the caller may retry. Precondition: the request was not executed.
    void setRetryAfter(std::chrono::milliseconds retryAfter) { retryAfter_ = retryAfter; }

    /// The delay after which the caller may retry, if known.
    std::optional<std::chrono::milliseconds> retryAfter() const { return retryAfter_; }

private:
    ResultCode code_;
    Ran ran_;
    std::optional<std::chrono::milliseconds> retryAfter_;
};

} // namespace Ibisturn
