#include <LibHTTP/Peers/ForwardedRequest.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Ibisturn {

namespace {

// HEAD would need answers without a body, CONNECT and TRACE must not pass a gateway.
constexpr std::array<std::string_view, 5> routableMethods { "GET", "POST", "PUT", "DELETE", "PATCH" };

bool isControl(char character)
{
    constexpr char space = ' ';
    constexpr char deleteCharacter = 127;
    return static_cast<unsigned char>(character) < space || character == deleteCharacter;
}

bool isTarget(std::string_view text)
{
    const auto isRefused = [](char character) { return character == ' ' || isControl(character); };
    return text.starts_with('/') && std::none_of(text.begin(), text.end(), isRefused);
}

} // namespace

bool isRoutableMethod(std::string_view method)
{
    return std::find(routableMethods.begin(), routableMethods.end(), method) != routableMethods.end();
}

bool isHeaderText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), isControl);
}

GatewayRequest readForwarded(ForwardMessage message, TimePoint now, Duration longest)
{
    // What stands here goes into the head of a request to a backend server, which it could split in two.
    const bool isWellFormed = isRoutableMethod(message.method) && isTarget(message.target) && isHeaderText(message.contentType)
        && isHeaderText(message.idempotencyKey);
    if (!isWellFormed)
        throw Error(ResultCode::MalformedFrame, Ran::No, "A forwarded request has a method, target or header that HTTP does not allow");
    const auto longestMilliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(longest).count());
    GatewayRequest request;
    request.workspace = WorkspaceId(std::move(message.workspace));
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.contentType = std::move(message.contentType);
    request.idempotencyKey = IdempotencyKey(std::move(message.idempotencyKey));
    request.body = std::move(message.body);
    request.parent = parseTraceparent(message.traceparent);
    request.deadline = now + std::chrono::milliseconds(std::min(message.timeoutMilliseconds, longestMilliseconds));
    if (!message.keyDigest.empty())
        request.key = KeyDigest(std::move(message.keyDigest));
    if (message.eventsReceived > 0)
        request.resumeAfter = message.eventsReceived - 1;
    return request;
}

} // namespace Ibisturn
