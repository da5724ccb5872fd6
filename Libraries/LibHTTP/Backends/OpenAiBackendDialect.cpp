#include <LibHTTP/Backends/BackendDialect.h>

#include <LibKernel/HttpLimits.h>

namespace Ibisturn {

namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;

class OpenAiBackendDialect final : public BackendDialect {
public:
    // Only these headers are sent to a backend server, so that a caller's key never is.
    Request makeRequest(const BackendServer& server, const GatewayRequest& request, TimePoint /*now*/) const override
    {
        Request message(Http::string_to_verb(request.method), request.target, httpVersion11);
        message.set(Http::field::host, server.endpoint.toString());
        if (!request.contentType.empty())
            message.set(Http::field::content_type, request.contentType);
        if (!request.idempotencyKey.isEmpty())
            message.set("Idempotency-Key", request.idempotencyKey.value());
        if (request.resumeAfter)
            message.set("Last-Event-ID", std::to_string(*request.resumeAfter));
        if (request.parent)
            message.set("traceparent", formatTraceparent(*request.parent));
        message.body() = { request.body.data(), request.body.size() };
        message.prepare_payload();
        return message;
    }

    AnswerHeadInfo readAnswer(const AnswerFields& answer, const GatewayRequest& /*request*/) const override
    {
        AnswerHeadInfo headInfo;
        // An interim answer precedes the answer.
        if (!isFinalStatus(answer.result_int()))
            headInfo.kind = AnswerKind::Stray;
        headInfo.needsTerminalEvent = true;
        return headInfo;
    }
};

} // namespace

const BackendDialect& openAiBackendDialect()
{
    static const OpenAiBackendDialect dialect;
    return dialect;
}

} // namespace Ibisturn
