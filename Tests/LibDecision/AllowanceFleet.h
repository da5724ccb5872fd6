#pragma once

#include <LibDecision/Allowance/WorkspaceAllowance.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include <fmt/format.h>

namespace Ibisturn {

using namespace std::chrono_literals;

/// Simulates, in virtual time, instances that share one workspace's allowance, with faulty networks and drifting clocks.
/// The decisions are made by the product's classes; only their environment is simulated.
/// Thread safety: one thread.
class AllowanceFleet {
public:
    /// A fault injected into the product's part, to verify that the checker detects it.
    enum class Mutation : std::uint8_t {
        None,
        NewOwnerStartsWithBurst,
        OwnershipUncheckedAtSpending,
        LenderDeductsLate,
    };

    struct Site {
        std::size_t dataCentre;
        /// The fraction of the allowance that is reserved for the instance's address.
        double weight;
    };

    struct Options {
        std::vector<Site> sites;
        BucketLimits fleet;
        LendingLimits lending { 10s };
        Duration proofLifetime { 5s };
        Duration maxWait { 400ms };
        Duration tickInterval { 100ms };
        Duration linkDelay { 55ms };
        Duration localDelay { 2ms };
        double lossRate { 0 };
        double duplicateRate { 0 };
        /// The maximum delay of a message beyond that of its path.
        Duration jitter { 5ms };
        bool hasLending { true };
        bool hasDrift { true };
        Mutation mutation { Mutation::None };
    };

    /// An admitted request. The checker counts `charged`: the reservation or, once settled, the usage.
    struct Admission {
        Duration at;
        double reserved;
        double charged;
    };

    struct Observer {
        std::function<void(ReservationId)> admitted;
        std::function<void(ReservationId)> refused;
    };

    AllowanceFleet(Options options, std::uint64_t seed)
        : options_(std::move(options))
        , random_(seed)
    {
        for (std::size_t site = 0; site < options_.sites.size(); ++site) {
            names_.emplace_back(fmt::format("i{}", site));
            owners_.push_back(nullptr);
        }
        for (std::size_t site = 0; site < options_.sites.size(); ++site)
            start(site);
    }

    Observer observer;

    Duration now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    const std::vector<Admission>& admissions() const { return admissions_; }
    std::uint64_t messages() const { return messages_; }
    /// Bytes sent for loans, including IP and TCP headers.
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t probeBytes() const { return probeBytes_; }
    double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }

    /// Schedules `function` at the virtual time `time`.
    void at(Duration time, std::function<void()> function) { events_.push({ time, nextEvent_++, std::move(function) }); }

    void runUntil(Duration end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.function();
        }
        now_ = end;
    }

    /// Sends a caller's request to the process that owns the address when the connection is made.
    void request(std::size_t site, ReservationId id, double amount)
    {
        amounts_[id] = amount;
        const auto process = owners_[site];
        if (!process)
            return refuse(id);
        run(process, [this, process, id, amount] {
            const bool isStale = options_.mutation == Mutation::OwnershipUncheckedAtSpending && process->resumedAt == now_;
            const TimePoint time = isStale ? clockOf(*process, process->frozenAt) : clockOf(*process, now_);
            perform(process, process->allowance->reserve(id, TokenAmount(amount), time));
        });
    }

    void settle(std::size_t site, ReservationId id, double used)
    {
        const auto process = owners_[site];
        const auto found = admissionOf_.find(id);
        if (!process || found == admissionOf_.end() || processOf_[id] != process)
            return;
        run(process, [this, process, id, used, index = found->second] {
            admissions_[index].charged = used;
            perform(process, process->allowance->settle(id, TokenAmount(used), clockOf(*process, now_)));
        });
    }

    // Faults.

    void kill(std::size_t site)
    {
        if (owners_[site])
            owners_[site]->isAlive = false;
        owners_[site] = nullptr;
    }

    /// A new process gets the address. The previous one keeps running unless it was killed, but is no longer reachable.
    void start(std::size_t site)
    {
        if (owners_[site])
            displacedProcesses_.push_back(owners_[site]);
        auto process = std::make_shared<Process>(ownershipLimits());
        process->site = site;
        process->id = { names_[site], Incarnation(nextIncarnation_++) };
        process->clockRate = options_.hasDrift ? 1 + clockDriftBound * (2 * chance() - 1) : 1;
        process->clockOffset = Duration(static_cast<Duration::rep>(chance() * 1e15));
        process->allowance = std::make_unique<WorkspaceAllowance>(settingsOf(*process), process->ownership);
        owners_[site] = process;
        probe(process);
        tick(process);
    }

    void freeze(std::size_t site, Duration length)
    {
        const auto process = owners_[site];
        if (!process || process->isFrozen)
            return;
        process->isFrozen = true;
        process->frozenAt = now_;
        at(now_ + length, [this, process] {
            process->isFrozen = false;
            process->resumedAt = now_;
            for (const auto& function : std::exchange(process->backlog, {}))
                run(process, function);
        });
    }

    void cut(std::size_t left, std::size_t right) { cuts_.insert(std::minmax(left, right)); }
    void heal() { cuts_.clear(); }
    void setLoss(double lossRate, double duplicateRate, Duration jitter)
    {
        options_.lossRate = lossRate;
        options_.duplicateRate = duplicateRate;
        options_.jitter = jitter;
    }

    /// Applies a changed record at this instance.
    void setLimits(std::size_t site, BucketLimits fleet)
    {
        if (const auto process = owners_[site])
            run(process, [this, process, fleet] {
                process->allowance->setLimits(fleet, partOf(fleet, options_.sites[process->site].weight), clockOf(*process, now_));
            });
    }

private:
    struct Process {
        explicit Process(OwnershipLimits limits)
            : ownership(limits)
        {
        }
        std::size_t site { 0 };
        InstanceProcess id;
        double clockRate { 1 };
        Duration clockOffset {};
        AddressOwnership ownership;
        std::unique_ptr<WorkspaceAllowance> allowance;
        bool isAlive { true };
        bool isFrozen { false };
        Duration frozenAt {};
        Duration resumedAt { -1 };
        std::vector<std::function<void()>> backlog;
    };
    using ProcessPointer = std::shared_ptr<Process>;

    struct Event {
        Duration time;
        std::uint64_t number;
        std::function<void()> function;
        bool operator<(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };

    static constexpr std::uint64_t headerSize = 40;
    static constexpr std::uint64_t probeSize = headerSize + 24;
    static constexpr std::uint64_t loanSize = headerSize + 72;

    static BucketLimits partOf(BucketLimits fullLimits, double weight)
    {
        return { TokensPerSecond(fullLimits.rate.count() * weight), TokenAmount(fullLimits.capacity.count() * weight) };
    }

    OwnershipLimits ownershipLimits() const
    {
        if (options_.mutation == Mutation::NewOwnerStartsWithBurst)
            return { options_.proofLifetime, -1h };
        return { options_.proofLifetime, options_.lending.term };
    }

    AllowanceSettings settingsOf(const Process& process) const
    {
        AllowanceSettings settings;
        settings.workspace = WorkspaceId("trust");
        settings.self = process.id;
        for (std::size_t site = 0; site < options_.sites.size(); ++site) {
            if (site != process.site && options_.sites[site].weight > 0 && options_.hasLending)
                settings.lenders.push_back(names_[site]);
        }
        settings.fleet = options_.fleet;
        settings.share = partOf(options_.fleet, options_.sites[process.site].weight);
        settings.lending = options_.lending;
        settings.maxWait = options_.maxWait;
        return settings;
    }

    TimePoint clockOf(const Process& process, Duration time) const
    {
        return TimePoint(process.clockOffset + Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * process.clockRate)));
    }

    void run(const ProcessPointer& process, std::function<void()> function)
    {
        if (!process->isAlive)
            return;
        if (process->isFrozen)
            return process->backlog.push_back(std::move(function));
        function();
    }

    void probe(const ProcessPointer& process)
    {
        run(process, [this, process] {
            const auto number = process->ownership.beginProbe(clockOf(*process, now_));
            const auto returned = [this, process, number](const ProcessPointer& receiver) {
                if (receiver == process)
                    process->ownership.completeProbe(number, clockOf(*process, now_));
            };
            for (const auto reflector : reflectorsOf(process->site)) {
                send(process->site, reflector, probeSize, [this, site = process->site, returned](const ProcessPointer& receiver) {
                    send(receiver->site, site, probeSize, returned);
                });
            }
            at(now_ + 1s, [this, process] { probe(process); });
        });
    }

    /// A random instance and, if there is one, an instance in the same data centre, reachable even when links are cut.
    std::vector<std::size_t> reflectorsOf(std::size_t self)
    {
        const auto count = options_.sites.size();
        std::vector<std::size_t> reflectors { (self + 1 + random_() % (count - 1)) % count };
        for (std::size_t step = 0; step < count; ++step) {
            const auto site = (reflectors.front() + step) % count;
            if (site == self || options_.sites[site].dataCentre != options_.sites[self].dataCentre)
                continue;
            if (step > 0)
                reflectors.push_back(site);
            break;
        }
        return reflectors;
    }

    void tick(const ProcessPointer& process)
    {
        run(process, [this, process] {
            if (process->allowance->isActive())
                perform(process, process->allowance->tick(clockOf(*process, now_)));
            at(now_ + options_.tickInterval, [this, process] { tick(process); });
        });
    }

    void send(std::size_t from, std::size_t to, std::uint64_t size, const std::function<void(const ProcessPointer&)>& receive)
    {
        ++messages_;
        (size == probeSize ? probeBytes_ : bytes_) += size;
        const auto left = options_.sites[from].dataCentre;
        const auto right = options_.sites[to].dataCentre;
        const int copies = chance() < options_.duplicateRate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (chance() < options_.lossRate || cuts_.contains(std::minmax(left, right)))
                continue;
            const Duration late(static_cast<Duration::rep>(chance() * static_cast<double>(options_.jitter.count())));
            at(now_ + (left == right ? options_.localDelay : options_.linkDelay) + late, [this, to, receive] {
                if (const auto process = owners_[to])
                    run(process, [receive, process] { receive(process); });
            });
        }
    }

    template <typename Message>
    void sendLoanMessage(const ProcessPointer& from, const InstanceId& to, const Message& message)
    {
        const auto site = static_cast<std::size_t>(std::stoul(to.value().substr(1)));
        send(from->site, site, loanSize, [this, message](const ProcessPointer& receiver) {
            if (options_.mutation != Mutation::LenderDeductsLate || !std::is_same_v<Message, LoanRequest>)
                return perform(receiver, receiver->allowance->receive(message, clockOf(*receiver, now_)));
            WorkspaceAllowance early(*receiver->allowance);
            perform(receiver, early.receive(message, clockOf(*receiver, now_)));
            at(now_ + 1s, [this, receiver, message] {
                run(receiver, [this, receiver, message] { receiver->allowance->receive(message, clockOf(*receiver, now_)); });
            });
        });
    }

    void perform(const ProcessPointer& process, const AllowanceActions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* loanRequest = std::get_if<SendLoanRequest>(&action))
                sendLoanMessage(process, loanRequest->lender, loanRequest->request);
            else if (const auto* grant = std::get_if<SendLoanGrant>(&action))
                sendLoanMessage(process, grant->grant.borrower.instance, grant->grant);
            else if (const auto* recall = std::get_if<SendLoanRecall>(&action))
                sendLoanMessage(process, recall->recall.borrower.instance, recall->recall);
            else if (const auto* loan = std::get_if<SendLoanReturn>(&action))
                sendLoanMessage(process, loan->loan.lender.instance, loan->loan);
            else if (const auto* refund = std::get_if<SendLoanRefund>(&action))
                sendLoanMessage(process, refund->refund.lender.instance, refund->refund);
            else if (const auto* admit = std::get_if<AdmitReservation>(&action))
                admitted(process, admit->id);
            else
                refuse(std::get<RefuseReservation>(action).id);
        }
    }

    void admitted(const ProcessPointer& process, ReservationId id)
    {
        admissionOf_[id] = admissions_.size();
        processOf_[id] = process;
        admissions_.push_back({ now_, amounts_[id], amounts_[id] });
        if (observer.admitted)
            observer.admitted(id);
    }

    void refuse(ReservationId id)
    {
        if (observer.refused)
            observer.refused(id);
    }

    Options options_;
    std::mt19937_64 random_;
    Duration now_ {};
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ { 0 };
    std::uint64_t nextIncarnation_ { 1 };
    std::vector<InstanceId> names_;
    std::vector<ProcessPointer> owners_;
    std::vector<ProcessPointer> displacedProcesses_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<Admission> admissions_;
    std::map<ReservationId, std::size_t> admissionOf_;
    std::map<ReservationId, ProcessPointer> processOf_;
    std::map<ReservationId, double> amounts_;
    std::uint64_t messages_ { 0 };
    std::uint64_t bytes_ { 0 };
    std::uint64_t probeBytes_ { 0 };
};

} // namespace Ibisturn
