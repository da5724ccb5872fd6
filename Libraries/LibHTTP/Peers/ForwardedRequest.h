#pragma once

#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibPeer/Frame.h>

namespace Ibisturn {

/// Whether requests with this method are passed on to backend servers. Thread safety: any thread.
bool isRoutableMethod(std::string_view method);

/// Whether `text` may stand in a header of HTTP: it holds no control characters. Thread safety: any thread.
bool isHeaderText(std::string_view text);

/// The part of a forwarded request that only those on routes with terms have. Thread safety: any thread.
RoutedRequestMessage makeRoutedMessage(const RoutedRequest& routed, TimePoint now);

/// Checks a peer's request and takes it over; its time is `longest` at most.
/// Throws Error with MalformedFrame. Thread safety: any thread.
GatewayRequest readForwarded(ForwardMessage message, TimePoint now, Duration longest);

} // namespace Ibisturn
