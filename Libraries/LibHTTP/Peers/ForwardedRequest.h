#pragma once

#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibPeer/Frame.h>

namespace Ibisturn {

/// Whether requests with this method are forwarded to backend servers. Thread safety: any thread.
bool isRoutableMethod(std::string_view method);

/// Whether `text` is allowed in an HTTP header, i.e. contains no control characters. Thread safety: any thread.
bool isHeaderText(std::string_view text);

/// Makes the part of a forwarded request that exists only on routes with a policy. Thread safety: any thread.
RoutedRequestMessage makeRoutedMessage(const RoutedRequest& routed, TimePoint now);

/// Validates a peer's request and converts it. Its timeout is limited to `maxTimeout`.
/// Throws Error with MalformedFrame. Thread safety: any thread.
GatewayRequest readForwarded(ForwardMessage message, TimePoint now, Duration maxTimeout);

} // namespace Ibisturn
