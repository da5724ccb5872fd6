#include <LibKernel/Asio.h>

#include <LibPlatform/StoreClient.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/ScriptedServer.h>

#include <array>
#include <future>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

class WatchEnded final : public std::exception {
};

/// Items without a key that can be read.
const auto oddItems = std::to_array<std::string>({ "7", "null", "[]", "{}", R"({"Value":"eA==","Revision":6})", R"({"Key":7,"Value":"eA==","Revision":6})", R"({"Key":"other","Value":"eA==","Revision":6})",
    "{\"Key\":\"s/\xff\",\"Value\":\"eA==\",\"Revision\":6}", R"({"Key":"s/\udcff","Value":"eA==","Revision":6})", R"({"Key":"s/b","Value":"eA==","Revision":1e999})" });

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

    /// The keys of a listing whose pages have these items, as JSON. All but the last say that more follow.
    std::vector<std::string> listedKeys(const std::vector<std::string>& pages)
    {
        std::vector<std::string> replies;
        replies.reserve(pages.size());
        for (const auto& page : pages)
            replies.push_back(reply(1, fmt::format(R"({{"items":[{}],"MorePages":{},"CurrentRev":9}})", page, &page != &pages.back())));
        serve(std::move(replies));
        std::vector<std::string> keys;
        for (const auto& entry : run(store_->range("s/")).entries)
            keys.push_back(entry.key);
        return keys;
    }

    /// The changes that a watch after the revision 4 passes on.
    StoreChanges watched(const std::string& events)
    {
        serve({ reply(1, fmt::format(R"({{"events":[{}],"CurrentRev":9}})", events)) });
        StoreChanges all;
        const auto onChanges = [&all](StoreChanges changes) {
            all = std::move(changes);
            throw WatchEnded();
        };
        EXPECT_THROW(run(store_->watch("s/", Revision(4, StoreEra(1)), 10s, onChanges)), WatchEnded);
        return all;
    }

    static std::string item(const std::string& key, std::int64_t revision = 5) { return fmt::format(R"({{"Key":"{}","Value":"eA==","Revision":{},"CreateRev":5,"Lease":0}})", key, revision); }

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

// An entry of another writer must not keep the others from being used.
TEST_F(KeyValueStoreClientTest, AnOddItemOfAListingCostsItselfAlone)
{
    for (const auto& odd : oddItems)
        EXPECT_EQ(listedKeys({ fmt::format("{},{}", item("s/a"), odd), fmt::format("{},{},{}", odd, item("s/c"), odd), item("s/d") }).size(), 3U) << odd;
}

TEST_F(KeyValueStoreClientTest, AnOddItemOfAWatchCostsItselfAlone)
{
    for (const auto& odd : oddItems) {
        const auto changes = watched(fmt::format("{},{},{}", item("s/a", 5), odd, item("s/c", 8)));
        ASSERT_EQ(changes.changes.size(), 2U) << odd;
        EXPECT_EQ(changes.changes.back().revision, Revision(8, StoreEra(1)));
        EXPECT_EQ(changes.revision, Revision(9, StoreEra(1)));
    }
}

// A server whose entry becomes unreadable must not be used as it was before.
TEST_F(KeyValueStoreClientTest, AnItemWithoutAReadableValueIsListedAsEmpty)
{
    for (const auto* odd : { R"({"Key":"s/b","Revision":6})", R"({"Key":"s/b","Value":7,"Revision":6})", R"({"Key":"s/b","Value":"?","Revision":6})", R"({"Key":"s/b","Value":"eA=="})",
             R"({"Key":"s/b","Value":"eA==","Revision":"6"})", R"({"Key":"s/b","Value":"eA==","Revision":6,"Deleted":"yes"})" }) {
        EXPECT_EQ(listedKeys({ fmt::format("{},{}", item("s/a"), odd) }), (std::vector<std::string> { "s/a", "s/b" })) << odd;
        const auto changes = watched(fmt::format("{},{}", odd, item("s/c", 8))).changes;
        ASSERT_EQ(changes.size(), 2U) << odd;
        EXPECT_EQ(changes.front().value, "") << odd;
        EXPECT_GT(changes.front().revision, Revision(4, StoreEra(1))) << odd;
        EXPECT_LE(changes.front().revision, Revision(6, StoreEra(1))) << odd;
    }
}

// The position of a watch, and of the peers that are told of it, would stay ahead of the store.
TEST_F(KeyValueStoreClientTest, NoChangeIsLaterThanTheStore)
{
    const auto changes = watched(item("s/a", std::int64_t(1) << 62)).changes;
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().revision, Revision(9, StoreEra(1)));
}

// What an empty page lacks would be taken for removed, and a listing whose pages repeat would not end.
TEST_F(KeyValueStoreClientTest, AListingFailsIfAPageBringsNothingToGoOnWith)
{
    EXPECT_THROW(listedKeys({ item("s/a"), "", item("s/b") }), Error);
    EXPECT_EQ(server_->requests(), 2U);
    const auto page = item("s/a") + "," + item("s/b");
    EXPECT_THROW(listedKeys({ page, page, page, page }), Error);
    EXPECT_EQ(server_->requests(), 2U);
    EXPECT_THROW(listedKeys({ oddItems.front(), item("s/b") }), Error);
}

TEST_F(KeyValueStoreClientTest, AListingNeedNotBeInTheOrderOfBytes)
{
    EXPECT_EQ(listedKeys({ item("s/b") + "," + item("s/C"), item("s/a") + "," + item("s/b"), item("s/D") }).size(), 4U);
}

// The write took effect, so nobody may be told that nothing was written.
TEST_F(KeyValueStoreClientTest, TheOutcomeOfAWriteWhoseReplyIsMalformedIsUnknown)
{
    for (const auto* body : { "", "7", "{}", R"({"Revision":"9"})", R"({"Revision":0})", "\xff" }) {
        serve({ reply(1, body) });
        try {
            run(store_->transact({ { "k", "v", std::nullopt, std::nullopt } }));
            ADD_FAILURE() << body;
        } catch (const Error& error) {
            EXPECT_EQ(error.code(), ResultCode::WriteOutcomeUnknown) << body;
        }
    }
}

TEST_F(KeyValueStoreClientTest, OddRowsOfAConflictCostThemselvesAlone)
{
    for (const auto* odd : { "7", R"({"Key":"k","Value":"eA=="})", R"({"Key":"other","Value":"eA==","Revision":5})", "{\"Key\":\"\xff\"}" }) {
        const auto body = fmt::format(R"({{"items":[{},{{"Key":"l","Value":"?","Revision":6}},{{"Key":"m","Revision":0}}]}})", odd);
        serve({ fmt::format("HTTP/1.1 412 No\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", body.size(), body) });
        const auto result = run(store_->transact({ { "k", "v", Revision(1), std::nullopt }, { "l", "v", Revision(1), std::nullopt }, { "m", "v", Revision(1), std::nullopt } }));
        EXPECT_EQ(result.outcome, WriteOutcome::Conflict);
        ASSERT_EQ(result.current.size(), 1U) << odd;
        EXPECT_EQ(result.current.front().key, "l");
        EXPECT_EQ(result.current.front().value, "");
        EXPECT_EQ(result.current.front().revision, Revision(6));
    }
}

} // namespace Ibisturn::Testing
