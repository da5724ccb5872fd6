#include <LibKernel/Asio.h>

#include <LibPlatform/StoreClient.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/ScriptedServer.h>

#include <future>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

/// Calls a store that gives prepared replies.
class KeyValueStoreClientTest : public testing::Test {
protected:
    static std::string reply(int era, const std::string& body)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nStore-Era: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", era, body.size(), body);
    }

    void serve(std::vector<std::string> replies)
    {
        server_.emplace(context_, std::move(replies), ScriptedServer::AfterAnswers::Close);
        Settings settings;
        settings.storeEndpoints = { server_->endpoint() };
        store_ = StoreClientRegistry::instance().require("store client", "platform", settings);
    }

    template <typename Result>
    Result run(Task<Result> call)
    {
        context_.restart();
        auto done = Asio::co_spawn(context_, std::move(call), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
        return done.get();
    }

    Asio::io_context context_ { 1 };
    std::optional<ScriptedServer> server_;
    std::unique_ptr<StoreClient> store_;
};

} // namespace

// Guards against a watch that fails for good because the changes that it missed do not fit into a reply.
TEST(KeyValueStoreClient, WatchWhoseReplyExceedsTheLimitIsToBeListedAgain)
{
    Asio::io_context context(1);
    EndlessServer server(context, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4096, 'a') + "\r\n");
    Settings settings;
    settings.storeEndpoints = { server.endpoint() };
    const auto store = StoreClientRegistry::instance().require("store client", "platform", settings);
    std::exception_ptr failure;
    const auto onEnd = [&failure](const std::exception_ptr& error) { failure = error; };
    Asio::co_spawn(context, store->watch("/ibisturn/", Revision(1), 10s, [](const StoreChanges&) {}), onEnd);
    context.run();
    ASSERT_TRUE(failure);
    EXPECT_THROW(std::rethrow_exception(failure), HistoryUnavailable);
    EXPECT_FALSE(server.isExhausted());
}

// After the store has come back from an older copy, it gives out the revisions again that a watch has passed.
TEST_F(KeyValueStoreClientTest, WatchOfAnEarlierEraIsToBeListedAgain)
{
    serve({ reply(2, R"({"events":[],"CurrentRev":700})") });
    std::size_t answers = 0;
    EXPECT_THROW(run(store_->watch("/ibisturn/", Revision(500, StoreEra(1)), 10s, [&answers](const StoreChanges&) { ++answers; })), HistoryUnavailable);
    EXPECT_EQ(answers, 0U);
    EXPECT_EQ(store_->era(), StoreEra(2));
    // The era is known by now.
    EXPECT_THROW(run(store_->watch("/ibisturn/", Revision(500, StoreEra(1)), 10s, [](const StoreChanges&) {})), HistoryUnavailable);
    EXPECT_EQ(server_->requests(), 1U);
}

TEST_F(KeyValueStoreClientTest, RevisionsBelongToTheEraOfTheReply)
{
    serve({ reply(3, R"({"items":[{"Key":"a","Value":"eA==","Revision":5,"CreateRev":5,"Lease":0}],"MorePages":false,"CurrentRev":9})") });
    const auto range = run(store_->range("a"));
    EXPECT_EQ(range.revision, Revision(9, StoreEra(3)));
    EXPECT_EQ(range.entries.at(0).revision, Revision(5, StoreEra(3)));
}

TEST_F(KeyValueStoreClientTest, AListingAcrossErasFails)
{
    const std::string page = R"({"items":[{"Key":"a","Value":"eA==","Revision":5,"CreateRev":5,"Lease":0}],"MorePages":true,"CurrentRev":9})";
    serve({ reply(1, page), reply(2, page) });
    EXPECT_THROW(run(store_->range("a")), Error);
}

TEST_F(KeyValueStoreClientTest, RepliesOfAnEarlierEraAreNotUsed)
{
    const std::string page = R"({"items":[],"MorePages":false,"CurrentRev":9})";
    serve({ reply(2, page), reply(1, page), reply(2, page) });
    run(store_->range("a"));
    EXPECT_THROW(run(store_->range("a")), Error);
    EXPECT_EQ(run(store_->range("a")).revision, Revision(9, StoreEra(2)));
}

TEST_F(KeyValueStoreClientTest, LeasesEndWithTheirEra)
{
    serve({ reply(1, R"({"Lease":7,"TtlMs":4500})"), reply(2, R"({"TtlMs":4500})") });
    const auto lease = run(store_->grantLease(4500ms));
    EXPECT_EQ(lease, (LeaseId { 7, StoreEra(1) }));
    try {
        run(store_->renewLease(lease));
        ADD_FAILURE() << "The lease was renewed.";
    } catch (const Error& error) {
        EXPECT_EQ(error.code(), ResultCode::RecordNotFound);
    }
    // Nothing may be written under it, and its number may be another instance's.
    std::vector<StoreWrite> writes { { "k", "v", std::nullopt, lease } };
    EXPECT_THROW(run(store_->transact(writes)), Error);
    run(store_->endLease(lease));
    EXPECT_EQ(server_->requests(), 2U);
}

TEST_F(KeyValueStoreClientTest, AConditionOfAnEarlierEraConflicts)
{
    serve({ reply(2, R"({"items":[],"MorePages":false,"CurrentRev":9})") });
    run(store_->range("a"));
    std::vector<StoreWrite> writes { { "k", std::nullopt, Revision(5, StoreEra(1)), std::nullopt } };
    EXPECT_EQ(run(store_->transact(writes)).outcome, WriteOutcome::Conflict);
    EXPECT_EQ(server_->requests(), 1U);
}

} // namespace Ibisturn::Testing
