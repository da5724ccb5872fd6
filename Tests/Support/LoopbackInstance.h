#pragma once

#include <LibHTTP/Callers/CallerSession.h>
#include <LibHTTP/Peers/PeerServer.h>
#include <LibPeer/ControlReceiver.h>
#include <Tests/Support/AbsentStore.h>
#include <Tests/Support/LoopbackThread.h>

#include <memory>
#include <utility>

namespace Ibisturn::Testing {

/// The settings of an instance in its region's only data centre, named like the region.
inline Settings settingsIn(const std::string& region)
{
    Settings settings;
    settings.identity = { InstanceId(region + "-1"), RegionId(region), DataCentreId(region) };
    return settings;
}

/// Takes control messages and answers none. Thread safety: any thread.
class SilentControl final : public ControlReceiver {
public:
    Task<std::vector<PeerAction>> receive(InstanceId /*from*/, ControlEvent /*event*/) override
    {
        co_return std::vector<PeerAction>();
    }
};

/// The callers' and peers' listeners of one instance on one worker. Configuration and membership are set
/// by hand. Thread safety: the thread that made it.
class LoopbackInstance {
public:
    explicit LoopbackInstance(const Settings& settings)
        : tables_(settings, nullptr)
        , claims_(settings, store_, worker_.context().get_executor())
        , runner_(tables_, claims_)
    {
        const auto& identity = settings.identity;
        member_ = { identity.instance, identity.region, identity.dataCentre, {}, {}, MemberState::Live };
        member_.callers = worker_.listen([this](Asio::ip::tcp::socket socket) {
            Asio::co_spawn(worker_.context(), serveCaller(std::move(socket), nullptr, tables_, runner_), Asio::detached);
        });
        member_.peers = worker_.listen([this](Asio::ip::tcp::socket socket) {
            Asio::co_spawn(worker_.context(), servePeer(std::move(socket), tables_, runner_, control_), Asio::detached);
        });
        worker_.start();
    }

    ~LoopbackInstance() { worker_.stop(); }
    LoopbackInstance(const LoopbackInstance&) = delete;
    LoopbackInstance& operator=(const LoopbackInstance&) = delete;

    /// What the live list says of it.
    const Member& member() const { return member_; }

    /// The tables that its worker shares.
    InstanceTables& tables() { return tables_; }

    /// Its worker.
    LoopbackThread& worker() { return worker_; }

private:
    InstanceTables tables_;
    LoopbackThread worker_;
    SilentControl control_;
    AbsentStore store_;
    ClaimService claims_;
    RequestRunner runner_;
    Member member_;
};

} // namespace Ibisturn::Testing
