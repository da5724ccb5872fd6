#include <LibHTTP/Requests/ClaimRunner.h>

#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibHTTP/Requests/RecordingSink.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr std::size_t maxIdempotencyKeyLength = 255;

/// A granted claim. If neither finish() nor fail() was called, its outcome is recorded as unknown.
class GrantedClaim {
public:
    GrantedClaim(ClaimService& service, ClaimId id)
        : service_(service)
        , id_(std::move(id))
    {
    }

    ~GrantedClaim()
    {
        if (!hasEnded_)
            service_.fail(id_, {});
    }

    GrantedClaim(const GrantedClaim&) = delete;
    GrantedClaim& operator=(const GrantedClaim&) = delete;

    bool confirm() { return service_.confirmDispatch(id_); }

    void finish(std::optional<StoredAnswer> answer)
    {
        hasEnded_ = true;
        service_.finish(id_, std::move(answer));
    }

    void fail(RunFailure failure)
    {
        hasEnded_ = true;
        service_.fail(id_, failure);
    }

private:
    ClaimService& service_;
    ClaimId id_;
    bool hasEnded_ { false };
};

Task<void> dispatch(ClaimService& service, ClaimId id, const ClaimedRequestHandlers& handlers, AnswerSink& sink)
{
    GrantedClaim claim(service, std::move(id));
    if (!claim.confirm()) {
        claim.fail({ ResultCode::DeadlineExceeded, Ran::No });
        throw Error(ResultCode::DeadlineExceeded, Ran::No, "The instance paused for too long to dispatch the request");
    }
    RecordingSink recording(sink, service.maxAnswerSize());
    std::optional<Error> failure;
    try {
        co_await handlers.run(recording);
    } catch (const Error& error) {
        failure = error;
    }
    if (failure) {
        claim.fail({ failure->code(), failure->ran() });
        throw *failure;
    }
    claim.finish(recording.takeAnswer());
    if (recording.hasReaderDisconnected())
        throw Error(ResultCode::CallerGone, Ran::Yes, "The caller disconnected");
}

Task<void> replay(StoredAnswer answer, AnswerSink& sink)
{
    AnswerHead head;
    head.status = answer.status;
    head.contentType = answer.contentType;
    head.contentLength = answer.body.size();
    co_await sink.writeHead(head);
    if (!answer.body.empty())
        co_await sink.writePart(answer.body);
    co_await sink.writeEnd();
}

Task<void> forwardToOwner(InstanceId owner, const ClaimedRequestHandlers& handlers, AnswerSink& sink)
{
    bool isReached = true;
    try {
        co_await handlers.forwardToOwner(std::move(owner), sink);
    } catch (const Error& error) {
        if (error.code() != ResultCode::PeerUnreachable)
            throw;
        isReached = false;
    }
    // Only the owner knows whether its claim was dispatched.
    if (!isReached)
        throw Error(ResultCode::OutcomeUnknown, Ran::Unknown, "The instance that claimed the key can't be reached");
}

} // namespace

std::string digestOfRequest(const GatewayRequest& request)
{
    return digestOfContent(fmt::format("{}\n{}\n{}", request.method, request.target, request.body));
}

Task<void> runUnderClaim(ClaimService& service, const GatewayRequest& request, ClaimScope scope, ClaimedRequestHandlers handlers, AnswerSink& sink)
{
    if (request.idempotencyKey.value().size() > maxIdempotencyKeyLength)
        throw Error(ResultCode::MalformedRequest, Ran::No, "The idempotency key is too long");
    ClaimId id { request.workspace, request.idempotencyKey };
    std::string digest = digestOfRequest(request);
    ClaimVerdict verdict = co_await service.awaitVerdict(id, std::move(digest), scope, request.deadline);
    if (const auto* refusal = std::get_if<RefuseAttempt>(&verdict))
        throw Error(refusal->code, refusal->ran, std::string(resultCodeEntry(refusal->code).meaning));
    if (auto* answered = std::get_if<AnswerAttempt>(&verdict)) {
        co_await replay(std::move(answered->answer), sink);
        co_return;
    }
    if (auto* delegated = std::get_if<ForwardToOwner>(&verdict)) {
        co_await forwardToOwner(std::move(delegated->owner.instance), handlers, sink);
        co_return;
    }
    co_await dispatch(service, std::move(id), handlers, sink);
}

} // namespace Ibisturn
