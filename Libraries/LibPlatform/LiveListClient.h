#pragma once

#include <LibDecision/Membership/MembershipView.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Fetches the platform's list of instances and backend servers once. The list lags behind the actual state.
/// Throws Error with MalformedBody or boost::system::system_error. Thread safety: one worker.
Task<MembershipView> fetchLiveList(Endpoint endpoint);

/// Parses the list's JSON text. Throws Error with MalformedBody. Thread safety: any thread.
MembershipView parseLiveList(std::string_view json);

} // namespace Ibisturn
