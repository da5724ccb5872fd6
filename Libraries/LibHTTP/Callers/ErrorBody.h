#pragma once

#include <LibCore/Error.h>
#include <LibDecision/Membership/MembershipView.h>

#include <string>
#include <vector>

namespace Ibisturn {

/// Formats an error as JSON in the format of the OpenAI API, with the result code's number, whether the
/// request ran, and the entries to use instead, if any. Thread safety: any thread.
std::string formatErrorBody(const Error& error, const std::vector<Member>& entries = {});

/// Formats the list of entries for callers as JSON. Thread safety: any thread.
std::string formatEntries(const std::vector<Member>& entries);

} // namespace Ibisturn
