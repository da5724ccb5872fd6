#pragma once

#include <LibDecision/Dissemination/StatusExchange.h>

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace Ibisturn::Testing {

/// Instances in three regions that exchange their status in virtual time, over links that may be cut. The decisions are the
/// product's; only the network is simulated. Thread safety: one thread.
class StatusFleet {
public:
    static constexpr std::size_t regionCount = 3;
    static constexpr Duration step = std::chrono::milliseconds(10);

    /// `localStatus` supplies the state of the instance with an index.
    StatusFleet(std::size_t count, std::function<LocalStatus(std::size_t, TimePoint)> localStatus)
        : localStatus_(std::move(localStatus))
        , instances_(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            Member member;
            member.id = idOf(index);
            member.region = regionOf(index);
            membership_.instances.push_back(member);
        }
        std::sort(membership_.instances.begin(), membership_.instances.end(), [](const Member& left, const Member& right) { return left.id < right.id; });
        for (std::size_t index = 0; index < count; ++index)
            restart(index);
    }

    static InstanceId idOf(std::size_t index) { return InstanceId(fmt::format("i{}", index)); }
    static RegionId regionOf(std::size_t index) { return RegionId(fmt::format("r{}", index % regionCount)); }

    TimePoint now() const { return now_; }
    const MembershipView& membership() const { return membership_; }
    StatusExchange& at(std::size_t index) { return *instances_[index].exchange; }

    /// The instances of region 0 that are preferred as collectors, by index.
    std::vector<std::size_t> collectors() const
    {
        std::vector<std::size_t> indexes;
        for (const auto& id : rankCollectors(membership_, regionOf(0)))
            indexes.push_back(static_cast<std::size_t>(std::stoul(id.value().substr(1))));
        return indexes;
    }

    /// Called for each message that is sent.
    std::function<void(std::size_t from, const StatusExchange::Message&)> onSend;

    /// Decides whether a message is lost; none is if it is not set.
    std::function<bool(std::size_t from, std::size_t to)> isLost;

    void restart(std::size_t index)
    {
        auto& instance = instances_[index];
        instance.exchange = std::make_unique<StatusExchange>(
            idOf(index), regionOf(index), Incarnation(++lastIncarnation_), [this, index](TimePoint now) { return localStatus_(index, now); }, now_ + step * static_cast<std::int64_t>(index % 10));
        instance.exchange->setMembers(membership_);
    }

    void freeze(std::size_t index, Duration length) { instances_[index].frozenUntil = now_ + length; }
    void cut(std::size_t from, std::size_t to, Duration length) { cuts_[{ from, to }] = now_ + length; }
    bool isFrozen(std::size_t index) const { return now_ < instances_[index].frozenUntil; }

    /// Simulates one step.
    void advance()
    {
        now_ += step;
        while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
            const auto [due, delivery] = *deliveries_.begin();
            deliveries_.erase(deliveries_.begin());
            deliver(delivery);
        }
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            if (!isFrozen(index))
                send(index, instances_[index].exchange->advance(now_));
        }
    }

    void run(Duration length)
    {
        for (const auto end = now_ + length; now_ < end;)
            advance();
    }

private:
    struct Instance {
        std::unique_ptr<StatusExchange> exchange;
        TimePoint frozenUntil {};
    };
    struct Delivery {
        std::size_t from;
        std::size_t to;
        StatusExchange::Message message;
    };

    void send(std::size_t from, const StatusExchange::Messages& messages)
    {
        constexpr Duration ownRegionDelay = std::chrono::milliseconds(3);
        constexpr Duration otherRegionDelay = std::chrono::milliseconds(58);
        for (const auto& message : messages) {
            if (onSend)
                onSend(from, message);
            const auto& peer = std::visit([](const auto& action) -> const InstanceId& { return action.peer; }, message);
            const auto to = static_cast<std::size_t>(std::stoul(peer.value().substr(1)));
            const auto cut = cuts_.find({ from, to });
            if (cut != cuts_.end() && now_ < cut->second)
                continue;
            if (isLost && isLost(from, to))
                continue;
            const auto delay = regionOf(from) == regionOf(to) ? ownRegionDelay : otherRegionDelay;
            deliveries_.emplace(now_ + delay, Delivery { from, to, message });
        }
    }

    void deliver(const Delivery& delivery)
    {
        // What arrives at a frozen process waits in its socket.
        if (isFrozen(delivery.to)) {
            deliveries_.emplace(instances_[delivery.to].frozenUntil, delivery);
            return;
        }
        const auto from = idOf(delivery.from);
        auto& receiver = *instances_[delivery.to].exchange;
        std::optional<StatusExchange::Messages> answers;
        if (const auto* report = std::get_if<SendReport>(&delivery.message))
            answers = receiver.onReport(now_, from, report->report);
        else if (const auto* digest = std::get_if<SendDigest>(&delivery.message))
            answers = receiver.onDigest(now_, from, digest->digest);
        else
            answers = receiver.onExchange(now_, from, std::get<SendExchange>(delivery.message).exchange);
        if (answers)
            send(delivery.to, *answers);
    }

    std::function<LocalStatus(std::size_t, TimePoint)> localStatus_;
    TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t lastIncarnation_ { 0 };
    MembershipView membership_;
    std::vector<Instance> instances_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cuts_;
    std::multimap<TimePoint, Delivery> deliveries_;
};

} // namespace Ibisturn::Testing
