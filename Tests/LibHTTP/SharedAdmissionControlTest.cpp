#include <LibHTTP/Backends/SharedAdmissionControl.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

const InstanceIdentity here { InstanceId("khomas-a"), RegionId("khomas"), DataCentreId("khomas-1") };
const RouteId route("short");

SnapshotPointer snapshotWith(const std::vector<std::string>& servers, std::int64_t revision)
{
    std::vector<Record> records;
    Route record;
    record.id = route;
    record.pathPrefix = "/v1/";
    records.push_back({ "routes", route.value(), Revision(revision), record });
    for (const auto& name : servers) {
        BackendServer server;
        server.id = BackendServerId(name);
        server.dataCentre = here.dataCentre;
        server.routes = { route };
        records.push_back({ "backend_servers", name, Revision(revision), server });
    }
    return std::make_shared<const Snapshot>(Revision(revision), records);
}

/// An admission control and its requests, which run on one event loop until no handler is ready.
class SharedAdmissionControlTest : public testing::Test {
protected:
    struct AdmissionAttempt {
        AdmissionSlotPointer slot;
        std::optional<ResultCode> refusal;
        CancellationPointer cancellation { std::make_shared<Cancellation>() };
    };

    std::shared_ptr<AdmissionAttempt> requestSlot(const std::string& workspace, Duration timeout = std::chrono::minutes(1))
    {
        auto attempt = std::make_shared<AdmissionAttempt>();
        const AdmissionQuery request { route, WorkspaceId(workspace), TokenCount(100), SteadyClock().now() + timeout, {} };
        Asio::co_spawn(context_, run(attempt, request), Asio::detached);
        context_.restart();
        context_.poll();
        return attempt;
    }

    void poll()
    {
        context_.restart();
        context_.poll();
    }

    // An engine that queues requests reveals how many it can run at once.
    void reportSlots(const std::string& server, std::uint32_t running)
    {
        now_ += std::chrono::milliseconds(1);
        admission_.report(now_, BackendServerId(server), { now_, running + 1, 1 });
        now_ += std::chrono::milliseconds(1);
        admission_.report(now_, BackendServerId(server), { now_, running, 0 });
    }

    Task<void> run(std::shared_ptr<AdmissionAttempt> attempt, AdmissionQuery request)
    {
        try {
            attempt->slot = co_await admission_.admit(std::move(request), snapshot_, membership_, attempt->cancellation);
        } catch (const Error& error) {
            attempt->refusal = error.code();
        }
    }

    Asio::io_context context_ { 1 };
    SharedAdmissionControl admission_ { here };
    SnapshotPointer snapshot_ { snapshotWith({ "engine-1" }, 1) };
    MembershipPointer membership_ { std::make_shared<const MembershipView>() };
    TimePoint now_ { SteadyClock().now() };
};

} // namespace

TEST_F(SharedAdmissionControlTest, WaitingRequestRunsWhenASlotIsReleased)
{
    const auto first = requestSlot("guides");
    reportSlots("engine-1", 1);
    const auto second = requestSlot("guides");
    ASSERT_TRUE(first->slot);
    EXPECT_FALSE(second->slot);
    EXPECT_EQ(admission_.waiting(), 1U);
    first->slot.reset();
    poll();
    EXPECT_TRUE(second->slot);
}

TEST_F(SharedAdmissionControlTest, CancelledRequestLeavesTheQueue)
{
    const auto first = requestSlot("guides");
    reportSlots("engine-1", 1);
    const auto second = requestSlot("guides");
    second->cancellation->cancel(CallerDisconnected {});
    poll();
    EXPECT_EQ(second->refusal, ResultCode::CallerGone);
    EXPECT_EQ(admission_.waiting(), 0U);
}

TEST_F(SharedAdmissionControlTest, ExpiredRequestIsRefusedAsNotRun)
{
    const auto first = requestSlot("guides");
    reportSlots("engine-1", 1);
    const auto second = requestSlot("guides", std::chrono::seconds(1));
    admission_.advance(SteadyClock().now() + std::chrono::seconds(2));
    poll();
    EXPECT_EQ(second->refusal, ResultCode::DeadlineUnreachable);
}

TEST_F(SharedAdmissionControlTest, WaitingRequestMovesToTheBackendServersOfANewConfiguration)
{
    const auto first = requestSlot("guides");
    reportSlots("engine-1", 1);
    const auto second = requestSlot("guides");
    snapshot_ = snapshotWith({ "engine-2" }, 2);
    const auto third = requestSlot("schools");
    poll();
    ASSERT_TRUE(third->slot);
    ASSERT_TRUE(second->slot);
    // The second request arrived with the old snapshot but does not bring back the withdrawn engine.
    EXPECT_EQ(second->slot->server(), BackendServerId("engine-2"));
    EXPECT_EQ(third->slot->server(), BackendServerId("engine-2"));
}

TEST_F(SharedAdmissionControlTest, LeavingBackendServerGetsNoNewRequests)
{
    snapshot_ = snapshotWith({ "engine-1", "engine-2" }, 1);
    MembershipView view;
    view.leavingBackendServers.insert(BackendServerId("engine-1"));
    membership_ = std::make_shared<const MembershipView>(view);
    for (int count = 0; count < 5; ++count)
        EXPECT_EQ(requestSlot("guides")->slot->server(), BackendServerId("engine-2"));
}

} // namespace Ibisturn
