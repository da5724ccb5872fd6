#pragma once

#include <LibHTTP/Callers/CallerSession.h>
#include <LibHTTP/Peers/PeerServer.h>
#include <LibPeer/ControlReceiver.h>
#include <Tests/Support/LoopbackThread.h>
#include <Tests/Support/UnreachableStore.h>

#include <memory>
#include <utility>
#include <vector>

namespace Ibisturn::Testing {

/// The settings of an instance in the only data centre of its region, which has the region's name.
inline Settings settingsIn(const std::string& region)
{
    Settings settings;
    settings.identity = { InstanceId(region + "-1"), RegionId(region), DataCentreId(region) };
    return settings;
}

/// Replies to each control message with the same messages. Thread safety: any thread.
class FixedControlReceiver final : public ControlReceiver {
public:
    explicit FixedControlReceiver(std::vector<PeerAction> replies)
        : replies_(std::move(replies))
    {
    }

    Task<std::vector<PeerAction>> receive(InstanceId /*from*/, ControlEvent /*event*/) override { co_return replies_; }

private:
    const std::vector<PeerAction> replies_;
};

/// An instance with one worker that listens for callers and peers, and replies to control messages with `controlReplies`. The test
/// sets configuration and membership directly. Thread safety: the creating thread.
class LoopbackInstance {
public:
    explicit LoopbackInstance(const Settings& settings, std::vector<PeerAction> controlReplies = {})
        : tables_(settings, nullptr)
        , control_(std::move(controlReplies))
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

    /// Its entry in the live list.
    const Member& member() const { return member_; }

    InstanceTables& tables() { return tables_; }

    LoopbackThread& worker() { return worker_; }

private:
    InstanceTables tables_;
    LoopbackThread worker_;
    FixedControlReceiver control_;
    UnreachableStore store_;
    ClaimService claims_;
    RequestRunner runner_;
    Member member_;
};

} // namespace Ibisturn::Testing
