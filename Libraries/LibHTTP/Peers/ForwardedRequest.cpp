#include <LibHTTP/Peers/ForwardedRequest.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Ibisturn {

namespace {

// HEAD is left out because its answers have no body; CONNECT and TRACE must not pass through a gateway.
constexpr std::array<std::string_view, 5> routableMethods { "GET", "POST", "PUT", "DELETE", "PATCH" };

/// Targets longer than a day are treated as a day.
constexpr std::uint64_t maxTargetMilliseconds = 24UL * 60 * 60 * 1000;

bool isControl(char character)
{
    constexpr char space = ' ';
    constexpr char deleteCharacter = 127;
    return static_cast<unsigned char>(character) < space || character == deleteCharacter;
}

bool isValidTarget(std::string_view text)
{
    const auto isForbidden = [](char character) { return character == ' ' || isControl(character); };
    return text.starts_with('/') && std::none_of(text.begin(), text.end(), isForbidden);
}

RoutedRequest readRouted(RoutedRequestMessage message, RouteId route, std::int64_t revision, TimePoint now)
{
    RoutedRequest routed;
    routed.route = std::move(route);
    routed.revision = Revision(revision, StoreEra(message.revisionEra));
    routed.service = ServiceId(std::move(message.service));
    routed.callerId = std::move(message.callerId);
    routed.host = std::move(message.host);
    for (auto& header : message.headers)
        routed.headers.push_back({ std::move(header.name), std::move(header.value) });
    const auto isValidHeader = [](const HttpHeader& header) { return isHeaderText(header.name) && isHeaderText(header.value); };
    if (!isHeaderText(routed.callerId) || !isHeaderText(routed.host) || !std::all_of(routed.headers.begin(), routed.headers.end(), isValidHeader))
        throw Error(ResultCode::MalformedFrame, Ran::No, "A forwarded request has a header that HTTP does not allow");
    for (const auto& part : message.prompt)
        routed.prompt.push_back({ part.id, TokenCount(part.tokens) });
    routed.promptTokens = TokenCount(message.promptTokens);
    routed.maxAnswerTokens = TokenCount(message.mostAnswerTokens);
    routed.priority = message.priority;
    routed.target = now + std::chrono::milliseconds(std::min(message.targetMilliseconds, maxTargetMilliseconds));
    routed.resume = message.canResume ? ResumeSupport::Supported : ResumeSupport::Unsupported;
    if (!message.requiredVersion.empty())
        routed.requiredVersion = SoftwareVersion(std::move(message.requiredVersion));
    if (message.hasHomeRegions) {
        routed.homeRegions.emplace();
        for (auto& region : message.homeRegions)
            routed.homeRegions->emplace_back(std::move(region));
    }
    return routed;
}

} // namespace

RoutedRequestMessage makeRoutedMessage(const RoutedRequest& routed, TimePoint now)
{
    RoutedRequestMessage message;
    message.service = routed.service.value();
    message.callerId = routed.callerId;
    message.host = routed.host;
    for (const auto& header : routed.headers)
        message.headers.push_back({ header.name, header.value });
    for (const auto& part : routed.prompt)
        message.prompt.push_back({ part.id, part.tokens.count() });
    message.promptTokens = routed.promptTokens.count();
    message.mostAnswerTokens = routed.maxAnswerTokens.count();
    message.priority = routed.priority;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(routed.target - now);
    message.targetMilliseconds = left.count() > 0 ? static_cast<std::uint64_t>(left.count()) : 0;
    message.canResume = routed.resume == ResumeSupport::Supported;
    message.requiredVersion = routed.requiredVersion.value_or(SoftwareVersion()).value();
    message.tellsHomeRegions = true;
    message.hasHomeRegions = routed.homeRegions.has_value();
    for (const auto& region : routed.homeRegions.value_or(std::vector<RegionId>()))
        message.homeRegions.push_back(region.value());
    return message;
}

bool isRoutableMethod(std::string_view method)
{
    return std::find(routableMethods.begin(), routableMethods.end(), method) != routableMethods.end();
}

bool isHeaderText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), isControl);
}

GatewayRequest readForwarded(ForwardMessage message, TimePoint now, Duration maxTimeout)
{
    // These values go into the head of a request to a backend server; a line break in them would allow request splitting.
    const bool isWellFormed = isRoutableMethod(message.method) && isValidTarget(message.target) && isHeaderText(message.contentType)
        && isHeaderText(message.idempotencyKey);
    if (!isWellFormed)
        throw Error(ResultCode::MalformedFrame, Ran::No, "A forwarded request has a method, target or header that HTTP does not allow");
    const auto maxTimeoutMilliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(maxTimeout).count());
    GatewayRequest request;
    request.workspace = WorkspaceId(std::move(message.workspace));
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.contentType = std::move(message.contentType);
    request.idempotencyKey = IdempotencyKey(std::move(message.idempotencyKey));
    request.body = std::move(message.body);
    request.parent = parseTraceparent(message.traceparent);
    request.deadline = now + std::chrono::milliseconds(std::min(message.timeoutMilliseconds, maxTimeoutMilliseconds));
    if (!message.keyDigest.empty())
        request.key = KeyDigest(std::move(message.keyDigest));
    if (message.eventsReceived > 0)
        request.resumeAfter = message.eventsReceived - 1;
    if (!message.routed.empty())
        request.routed = readRouted(std::move(message.routed.front()), RouteId(message.route), message.revision, now);
    return request;
}

} // namespace Ibisturn
