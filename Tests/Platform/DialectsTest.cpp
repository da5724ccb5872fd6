#include <LibCore/Digest.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <LibHTTP/Callers/CallerDialectRegistry.h>
#include <LibHTTP/Operators/EntryDialect.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace Http = boost::beast::http;

namespace {

using namespace std::chrono_literals;

class PlatformCallerDialectTest : public testing::Test {
protected:
    PlatformCallerDialectTest()
    {
        fields_.set(Http::field::host, "barn.example");
        fields_.set("X-Ibisturn-Request-Id", "9c41d07be2a35f68");
        fields_.set("X-Ibisturn-Deadline-Ms", "12000");
        fields_.set("X-Ibisturn-Token-Count", "1460,80");
        fields_.set("X-Ibisturn-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
        fields_.set(Http::field::authorization, "Bearer secret");
    }

    bool passesOn(const std::string& name) const
    {
        const auto head = dialect_->readHead(fields_);
        return std::any_of(head.forwardedHeaders.begin(), head.forwardedHeaders.end(), [&name](const HttpHeader& header) { return header.name == name; });
    }

    std::string failure(ResultCode code, Ran ran, std::optional<std::chrono::milliseconds> retryAfter = {}) const
    {
        Error error(code, ran, "text");
        if (retryAfter)
            error.setRetryAfter(*retryAfter);
        return dialect_->formatFailure(error, "id-1", AfterAnswer::KeepAlive);
    }

    CallerDialect::RequestFields fields_;
    std::unique_ptr<CallerDialect> dialect_ { CallerDialectRegistry::instance().make("platform") };
};

class ReplicaDialectTest : public testing::Test {
protected:
    ReplicaDialectTest()
    {
        request_.method = "POST";
        request_.target = "/short/1?x=1";
        request_.body = "prompt";
        request_.workspace = WorkspaceId("guides");
        request_.deadline = TimePoint(10s);
        request_.routed.emplace();
        request_.routed->callerId = "id-1";
        request_.routed->host = "barn.example";
        request_.routed->headers = { { "X-Ibisturn-Model", "m" }, { "X-Other", "1" } };
        request_.routed->prompt = { { 1, TokenCount(10) } };
        request_.routed->priority = 12;
        server_.id = BackendServerId("i-1");
    }

    AnswerHeadInfo read(unsigned status, std::initializer_list<std::pair<const char*, const char*>> headers) const
    {
        BackendDialect::AnswerFields answer;
        answer.result(status);
        for (const auto& [name, value] : headers)
            answer.set(name, value);
        return dialect_->readAnswer(answer, request_);
    }

    GatewayRequest request_;
    BackendServer server_;
    std::unique_ptr<BackendDialect> dialect_ { BackendDialectRegistry::instance().make("platform") };
};

Member entryAt(const std::string& address)
{
    Member member;
    member.callers = *parseEndpoint(address);
    return member;
}

} // namespace

TEST_F(PlatformCallerDialectTest, ReadsRequestHeaders)
{
    const auto head = dialect_->readHead(fields_);
    EXPECT_EQ(head.callerId, "9c41d07be2a35f68");
    EXPECT_EQ(head.host, "barn.example");
    EXPECT_EQ(head.requestedTimeout, 12s);
    EXPECT_EQ(head.key, digestOfKey("secret"));
    EXPECT_EQ(head.promptTokens, TokenCount(1460));
    EXPECT_EQ(head.maxAnswerTokens, TokenCount(80));
    ASSERT_EQ(head.prompt.size(), 3U);
    EXPECT_EQ(head.prompt[1].tokens, TokenCount(410));
    EXPECT_FALSE(head.lastEventId);
}

TEST_F(PlatformCallerDialectTest, MalformedHeadersAreIgnored)
{
    fields_.set("X-Ibisturn-Deadline-Ms", "soon");
    fields_.set("X-Ibisturn-Token-Count", "-5,x");
    fields_.set("X-Ibisturn-Prompt-Prefix", ",,:,abc,d:9999999999999999999");
    fields_.set("Last-Event-Id", "-1");
    fields_.set(Http::field::authorization, "Basic c2VjcmV0");
    const auto head = dialect_->readHead(fields_);
    EXPECT_FALSE(head.requestedTimeout);
    EXPECT_EQ(head.promptTokens, TokenCount(0));
    EXPECT_FALSE(head.lastEventId);
    EXPECT_FALSE(head.key);
}

// A caller that names no usable attempt must not be taken for one that names another caller's, or a very long one be kept.
TEST_F(PlatformCallerDialectTest, ReadsWhichStreamIsResumed)
{
    EXPECT_FALSE(dialect_->readHead(fields_).resumes);
    fields_.set("Resumes", "");
    EXPECT_EQ(dialect_->readHead(fields_).resumes, "");
    fields_.set("resumes", "9c41d07be2a35f67");
    EXPECT_EQ(dialect_->readHead(fields_).resumes, "9c41d07be2a35f67");
    EXPECT_TRUE(passesOn("resumes"));
    fields_.set("Resumes", std::string(256, 'a'));
    EXPECT_EQ(dialect_->readHead(fields_).resumes, std::string(256, 'a'));
    fields_.set("Resumes", std::string(257, 'a'));
    EXPECT_EQ(dialect_->readHead(fields_).resumes, "");
    EXPECT_TRUE(passesOn("Resumes"));
    fields_.set("Resumes", "a");
    fields_.insert("Resumes", "b");
    EXPECT_EQ(dialect_->readHead(fields_).resumes, "");
}

TEST_F(PlatformCallerDialectTest, HeadersSetByInstancesAreNotAcceptedFromCallers)
{
    for (const auto* name : { "X-Ibisturn-Tenant", "X-Ibisturn-Expect-Instance", "X-Ibisturn-Request-Priority", "X-Ibisturn-Hold", "X-Ibisturn-Pin-Ms", "X-Ibisturn-Kv-Backup", "Kv-From", "Kv-Fetch", "Authorization", "Connection", "Keep-Alive", "Upgrade" }) {
        fields_.set(name, "x");
        EXPECT_FALSE(passesOn(name)) << name;
    }
    fields_.set(Http::field::connection, "close, X-Hop");
    fields_.set("X-Hop", "1");
    fields_.set("X-Kept", "1");
    EXPECT_FALSE(passesOn("X-Hop"));
    EXPECT_TRUE(passesOn("X-Kept"));
}

TEST_F(PlatformCallerDialectTest, StatusPromisesNotRunOnlyIfTheRequestDidNotRun)
{
    EXPECT_TRUE(failure(ResultCode::NoBackendServer, Ran::No).starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(failure(ResultCode::BackendUnreachable, Ran::No).starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(failure(ResultCode::ResidencyRefused, Ran::No).starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(failure(ResultCode::AllowanceExceeded, Ran::No).starts_with("HTTP/1.1 429 "));
    EXPECT_TRUE(failure(ResultCode::OutcomeUnknown, Ran::Unknown).starts_with("HTTP/1.1 502 "));
    EXPECT_TRUE(failure(ResultCode::BackendBusy, Ran::Unknown).starts_with("HTTP/1.1 502 "));
    // What a peer sent instead of an answer is no fault of the caller.
    EXPECT_TRUE(failure(ResultCode::MalformedFrame, Ran::Unknown).starts_with("HTTP/1.1 502 "));
    EXPECT_TRUE(failure(ResultCode::FrameTooLarge, Ran::Unknown).starts_with("HTTP/1.1 502 "));
    EXPECT_TRUE(failure(ResultCode::DeadlineExceeded, Ran::Unknown).starts_with("HTTP/1.1 504 "));
    EXPECT_TRUE(failure(ResultCode::KeyUnknown, Ran::No).starts_with("HTTP/1.1 401 "));
    EXPECT_NE(failure(ResultCode::Overloaded, Ran::No, 250ms).find("Retry-After: 0.250\r\n"), std::string::npos);
}

TEST_F(ReplicaDialectTest, RequestNamesServerWorkspaceAndTimeLeft)
{
    request_.resumeAfter = 12;
    const auto message = dialect_->makeRequest(server_, request_, TimePoint(7s));
    EXPECT_EQ(message.target(), "/short/1?x=1");
    EXPECT_EQ(message["Host"], "barn.example");
    EXPECT_EQ(message["X-Ibisturn-Request-Id"], "id-1");
    EXPECT_EQ(message["X-Ibisturn-Expect-Instance"], "i-1");
    EXPECT_EQ(message["X-Ibisturn-Tenant"], "guides");
    EXPECT_EQ(message["X-Ibisturn-Deadline-Ms"], "3000");
    EXPECT_EQ(message["X-Ibisturn-Request-Priority"], "9");
    EXPECT_EQ(message["X-Ibisturn-Model"], "m");
    EXPECT_EQ(message["Last-Event-Id"], "12");
    EXPECT_EQ(std::string_view(message.body().data(), message.body().size()), "prompt");
}

TEST_F(ReplicaDialectTest, ClassifiesAnswers)
{
    EXPECT_EQ(read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" } }).kind, AnswerKind::Answer);
    EXPECT_EQ(read(500, { { "X-Ibisturn-Request-Id", "id-1" } }).kind, AnswerKind::Answer);
    EXPECT_EQ(read(200, { { "X-Ibisturn-Request-Id", "id-2" }, { "X-Ibisturn-Server-Seal", "s" } }).kind, AnswerKind::Stray);
    EXPECT_EQ(read(200, { { "X-Ibisturn-Request-Id", "id-1" } }).kind, AnswerKind::Invalid);
    EXPECT_EQ(read(200, { { "X-Ibisturn-Server-Seal", "s" } }).kind, AnswerKind::Invalid);
    EXPECT_EQ(read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" }, { "Content-Encoding", "gzip" } }).kind, AnswerKind::Invalid);
    EXPECT_EQ(read(503, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Not-Executed", "1" } }).kind, AnswerKind::Refused);
    EXPECT_EQ(read(503, { { "X-Ibisturn-Request-Id", "id-1" } }).kind, AnswerKind::Answer);
    EXPECT_EQ(read(421, { { "X-Ibisturn-Instance-Id", "i-2" } }).kind, AnswerKind::WrongServer);
    EXPECT_EQ(read(100, {}).kind, AnswerKind::Invalid);
    EXPECT_EQ(read(103, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" } }).kind, AnswerKind::Invalid);
}

TEST_F(ReplicaDialectTest, ReadsThatTheServerIsLeaving)
{
    const auto leaving = read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" }, { "Server-Leaving", "1" } });
    EXPECT_TRUE(leaving.isServerLeaving);
    EXPECT_TRUE(read(503, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Not-Executed", "1" }, { "Server-Leaving", "1" } }).isServerLeaving);
    EXPECT_FALSE(read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" }, { "Server-Leaving", "0" } }).isServerLeaving);
    // Another server that has the address now, and an answer to another request, say nothing about the expected one.
    EXPECT_FALSE(read(421, { { "X-Ibisturn-Request-Id", "id-1" }, { "Server-Leaving", "1" } }).isServerLeaving);
    EXPECT_FALSE(read(200, { { "X-Ibisturn-Request-Id", "id-2" }, { "X-Ibisturn-Server-Seal", "s" }, { "Server-Leaving", "1" } }).isServerLeaving);
}

TEST_F(ReplicaDialectTest, ReadsForHowLongTheServerWantsNoRequests)
{
    const auto pauseOf = [this](unsigned status, const char* text) { return read(status, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Not-Executed", "1" }, { "Retry-After", text } }).retryAfter; };
    EXPECT_EQ(pauseOf(503, "3"), 3s);
    EXPECT_EQ(pauseOf(503, "0.25"), 250ms);
    EXPECT_EQ(pauseOf(503, "1e300"), 10min);
    EXPECT_FALSE(pauseOf(429, "3"));
    for (const auto* text : { "", "soon", "-1", "0", "nan", "inf x", "3s" })
        EXPECT_FALSE(pauseOf(503, text)) << text;
    EXPECT_FALSE(read(503, { { "X-Ibisturn-Request-Id", "id-1" }, { "Retry-After", "3" } }).retryAfter);
}

TEST_F(ReplicaDialectTest, ReadsWhichProcessAnswers)
{
    EXPECT_EQ(dialect_->processTarget(), "/-/report");
    EXPECT_EQ(dialect_->readProcess(R"({"Stage":"colocated","born":1787771335495})"), StartTime(1787771335495));
    EXPECT_EQ(dialect_->readProcess(R"({"born":1787771335495.0})"), StartTime(1787771335495));
    for (const auto* unusable : { "", "[]", "{}", R"({"born":"1"})", R"({"born":1.5})", R"({"born":0})", R"({"born":-1})", R"({"born":1e300})", R"({"born":null})", R"({"Runs":{"born":1}})" })
        EXPECT_FALSE(dialect_->readProcess(unusable)) << unusable;
}

TEST_F(ReplicaDialectTest, ReadsLoadAndIdleTimeout)
{
    const auto reading = read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" }, { "X-Ibisturn-Server-Load", "3,1,8" }, { "Keep-Alive", "timeout=5, max=9" } });
    ASSERT_TRUE(reading.load);
    EXPECT_EQ(reading.load->waiting, 1U);
    EXPECT_EQ(reading.load->slots, 8U);
    EXPECT_EQ(reading.idleTimeout, 5s);
    EXPECT_FALSE(read(200, { { "X-Ibisturn-Server-Load", "3,x" }, { "Keep-Alive", "timeout=" } }).load);
    for (const auto& header : reading.headers)
        EXPECT_NE(header.name, "X-Ibisturn-Server-Load");
}

// A fourth number says how long work takes now; whatever a replica writes there must not be taken for something else.
TEST_F(ReplicaDialectTest, ReadsThePaceOfAServerThatReportsIt)
{
    const auto loadOf = [this](const char* text) { return read(200, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Server-Seal", "s" }, { "X-Ibisturn-Server-Load", text } }).load; };
    EXPECT_EQ(loadOf("3,1,8,250")->pacePercent, 250U);
    for (const auto* text : { "3,1,8", "3,1,8,", "3,1,8,-5", "3,1,8,fast", "3,1,8,99999999999" }) {
        ASSERT_TRUE(loadOf(text)) << text;
        EXPECT_EQ(loadOf(text)->pacePercent, 0U) << text;
    }
    EXPECT_EQ(loadOf("3,1,8,90,7")->pacePercent, 90U);
    for (const auto* text : { "", "3", "3,1", "-3,1,8,100", "3,1,9999999999,100", "4000000000,4000000000,8,100" })
        EXPECT_FALSE(loadOf(text)) << text;
}

TEST(PlatformEntryDialect, AnswersEntryAndReadinessQueries)
{
    const auto dialect = EntryDialectRegistry::instance().make("platform");
    EntrySource source;
    bool isReady = true;
    RegionId queriedRegion;
    std::string askedHost;
    source.isReady = [&isReady] { return isReady; };
    source.entries = [&](std::string_view host, const CallerLocation& caller) {
        queriedRegion = caller.region;
        askedHost = host;
        return caller.dataCentre.isEmpty() ? std::vector<Member>() : std::vector<Member> { entryAt("10.1.0.25:8221") };
    };
    source.metrics = [] { return std::string("m 1\n"); };
    source.lifetime = 2s;
    EXPECT_EQ(dialect->answer("/-/resolve?Name=a&Region=bc%2Dcoast&Zone=z", source).body, R"({"Addrs":["10.1.0.25:8221"],"TtlS":2})");
    EXPECT_EQ(queriedRegion, RegionId("bc-coast"));
    EXPECT_EQ(askedHost, "a");
    EXPECT_EQ(dialect->answer("/-/resolve?Name=a", source).status, 503U);
    EXPECT_EQ(dialect->answer("/-/ready", source).status, 200U);
    isReady = false;
    EXPECT_EQ(dialect->answer("/-/ready", source).status, 503U);
    EXPECT_EQ(dialect->answer("/metrics", source).body, "m 1\n");
    EXPECT_EQ(dialect->answer("/else", source).status, 404U);
}

// Guards against an answer that proves that a request did not run by a header beside a status that no answer has.
TEST_F(ReplicaDialectTest, AnAnswerThatIsNotFinalProvesNothing)
{
    for (const unsigned status : { 0U, 99U, 100U, 103U, 199U })
        EXPECT_EQ(read(status, { { "X-Ibisturn-Request-Id", "id-1" }, { "X-Ibisturn-Not-Executed", "1" } }).kind, AnswerKind::Invalid) << status;
}

} // namespace Ibisturn::Testing
