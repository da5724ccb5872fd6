#include <LibKernel/Asio.h>

#include <LibCore/Base64.h>
#include <LibPlatform/StoreClient.h>
#include <Tests/Support/ScriptedServer.h>

#include <array>
#include <future>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

std::string item(const std::string& key, int revision)
{
    return fmt::format(R"({{"key":"{}","value":"{}","mod_revision":"{}"}})", encodeBase64(key), encodeBase64("v"), revision);
}

/// Items without a key that can be read. `cw==` is the key "s".
const auto oddItems = std::to_array<std::string>({ "7", "null", "[]", "{}", R"({"value":"dg==","mod_revision":"6"})", R"({"key":7,"mod_revision":"6"})", R"({"key":"?","mod_revision":"6"})", R"({"key":"cw==","value":"dg==","mod_revision":"6"})" });

/// Items with the key "s/b" whose value or revision can't be read.
const auto oddValues = std::to_array<std::string>({ R"("value":7,"mod_revision":"6")", R"("value":"?","mod_revision":"6")", R"("value":"dg==")", R"("value":"dg==","mod_revision":[])", R"("value":"dg==","mod_revision":"6x")" });

/// Calls a store that gives prepared replies.
class EtcdStoreClientTest : public testing::Test {
protected:
    void serve(const std::string& body)
    {
        server_.emplace(context_, std::vector<std::string> { fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", body.size(), body) }, ScriptedServer::AfterAnswers::Close);
        Settings settings;
        settings.storeEndpoints = { server_->endpoint() };
        store_ = StoreClientRegistry::instance().require("store client", "etcd", settings);
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

    StoreRange listed(const std::string& items)
    {
        serve(fmt::format(R"({{"header":{{"revision":"9"}},"kvs":[{}]}})", items));
        return run(store_->range("s/"));
    }

    /// The changes that a watch after the revision 4 passes on.
    std::vector<StoreChange> watched(const std::string& events)
    {
        serve(fmt::format(R"({{"result":{{"header":{{"revision":"9"}},"events":[{}]}}}})", events) + "\n");
        StoreChanges all;
        const auto onChanges = [&all](StoreChanges changes) { all = std::move(changes); };
        EXPECT_THROW(run(store_->watch("s/", Revision(4), 10s, onChanges)), Error);
        return all.changes;
    }

    Asio::io_context context_ { 1 };
    std::optional<ScriptedServer> server_;
    std::unique_ptr<StoreClient> store_;
};

} // namespace

// An entry of another writer must not keep the others from being used.
TEST_F(EtcdStoreClientTest, AnOddItemCostsItselfAlone)
{
    for (const auto& odd : oddItems) {
        EXPECT_EQ(listed(item("s/a", 5) + "," + odd + "," + item("s/c", 8)).entries.size(), 2U) << odd;
        const auto changes = watched(fmt::format(R"({{"kv":{}}},{{"kv":{}}},{{"type":"DELETE","kv":{}}},{})", item("s/a", 5), odd, item("s/c", 8), odd));
        ASSERT_EQ(changes.size(), 2U) << odd;
        EXPECT_EQ(changes.at(0).value, "v");
        EXPECT_FALSE(changes.at(1).value);
    }
}

// A record that becomes unreadable must not stay in force as it was before.
TEST_F(EtcdStoreClientTest, AnItemWithoutAReadableValueIsEmpty)
{
    for (const auto& fields : oddValues) {
        const auto odd = fmt::format(R"({{"key":"{}",{}}})", encodeBase64("s/b"), fields);
        const auto entries = listed(item("s/a", 5) + "," + odd).entries;
        ASSERT_EQ(entries.size(), 2U) << odd;
        EXPECT_EQ(entries.at(1).value, "") << odd;
        const auto changes = watched(fmt::format(R"({{"kv":{}}},{{"kv":{}}})", odd, item("s/c", 8)));
        ASSERT_EQ(changes.size(), 2U) << odd;
        EXPECT_EQ(changes.at(0).value, "") << odd;
        EXPECT_GT(changes.at(0).revision, Revision(4)) << odd;
        EXPECT_LE(changes.at(0).revision, Revision(6)) << odd;
    }
}

TEST_F(EtcdStoreClientTest, AnItemWithoutAValueHasAnEmptyOne)
{
    const auto entries = listed(fmt::format(R"({{"key":"{}","mod_revision":"6"}})", encodeBase64("s/b"))).entries;
    ASSERT_EQ(entries.size(), 1U);
    EXPECT_EQ(entries.front().value, "");
    EXPECT_EQ(entries.front().revision, Revision(6));
}

TEST_F(EtcdStoreClientTest, AReplyWithoutARevisionOrOfPartOfTheItemsIsNotTaken)
{
    for (const auto* body : { "", "7", "{}", R"({"header":7})", R"({"header":{}})", R"({"header":{"revision":"x"}})", R"({"header":{"revision":"9"},"kvs":7})", R"({"header":{"revision":"9"},"more":true})" }) {
        serve(body);
        EXPECT_THROW(run(store_->range("s/")), Error) << body;
    }
}

// The write took effect, so nobody may be told that nothing was written.
TEST_F(EtcdStoreClientTest, TheOutcomeOfAWriteWhoseReplyIsMalformedIsUnknown)
{
    for (const auto* body : { "", "7", "{}", R"({"header":7,"succeeded":true})", R"({"header":{"revision":"x"},"succeeded":true})" }) {
        serve(body);
        try {
            run(store_->transact({ { "k", "v", std::nullopt, std::nullopt } }));
            ADD_FAILURE() << body;
        } catch (const Error& error) {
            EXPECT_EQ(error.code(), ResultCode::WriteOutcomeUnknown) << body;
        }
    }
}

TEST_F(EtcdStoreClientTest, OddRowsOfAConflictCostThemselvesAlone)
{
    serve(fmt::format(R"({{"header":{{"revision":"9"}},"responses":[7,{{}},{{"response_range":{{"kvs":[7,{},{}]}}}}]}})", item("other", 5), item("k", 6)));
    const auto result = run(store_->transact({ { "k", "v", Revision(1), std::nullopt } }));
    EXPECT_EQ(result.outcome, WriteOutcome::Conflict);
    ASSERT_EQ(result.current.size(), 1U);
    EXPECT_EQ(result.current.front().revision, Revision(6));
}

} // namespace Ibisturn::Testing
