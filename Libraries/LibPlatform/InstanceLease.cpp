#include <LibPlatform/InstanceLease.h>

#include <LibCore/Error.h>
#include <LibCore/JsonText.h>
#include <LibCore/Log.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/Pause.h>

#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr Log leaseLog("lease");
/// The term of the lease tolerates three failed renewals.
constexpr Duration renewalPeriod = std::chrono::milliseconds(1400);
constexpr Duration retryDelay = std::chrono::milliseconds(300);

} // namespace

InstanceLease::InstanceLease(StoreClient& store, std::string prefix, Member self)
    : store_(store)
    , key_(std::move(prefix) + self.id.value())
    , self_(std::move(self))
{
}

Task<void> InstanceLease::run()
{
    bool hasFailed = false;
    while (!isLeaving_) {
        std::string problem;
        try {
            if (!lease_)
                co_await writeEntry();
            else
                co_await renew();
        } catch (const Error& error) {
            problem = error.what();
            if (error.code() == ResultCode::RecordNotFound)
                lease_.reset();
        } catch (const std::exception& error) {
            problem = error.what();
        }
        if (!problem.empty() && !hasFailed)
            leaseLog.warning("Could not renew the instance entry.", { { "key", key_ }, { "reason", problem } });
        if (problem.empty() && hasFailed)
            leaseLog.info("Instance entry renewed again.", { { "key", key_ } });
        hasFailed = !problem.empty();
        co_await pause(hasFailed ? retryDelay : renewalPeriod);
    }
}

Task<void> InstanceLease::leave()
{
    isLeaving_ = true;
    if (!lease_)
        co_return;
    try {
        // The store may have come back from an older copy without this instance's knowledge, and given the number of the lease to another
        // one. The reply tells.
        co_await store_.renewLease(*lease_);
        co_await store_.endLease(*lease_);
        lease_.reset();
    } catch (const std::exception& error) {
        // The lease expires anyway.
        leaseLog.warning("Could not remove the instance entry.", { { "key", key_ }, { "reason", error.what() } });
    }
}

std::optional<LeaseId> InstanceLease::lease() const
{
    return lease_ && lease_->era == store_.era() ? lease_ : std::nullopt;
}

std::optional<LockTerm> InstanceLease::term() const
{
    if (!lease() || isLeaving_)
        return std::nullopt;
    return LockTerm { term_, termEnd_ };
}

// A lease runs from the arrival of the call that grants or renews it, which is not before the call is made.
Task<void> InstanceLease::renew()
{
    const auto calledAt = SteadyClock().now();
    co_await store_.renewLease(*lease_);
    termEnd_ = calledAt + leaseTerm;
    answeredAt_ = SteadyClock().now();
}

Task<void> InstanceLease::writeEntry()
{
    const auto calledAt = SteadyClock().now();
    const LeaseId lease = co_await store_.grantLease(leaseTerm);
    std::vector<StoreWrite> writes;
    writes.push_back({ key_, formatMember(self_), std::nullopt, lease });
    co_await store_.transact(std::move(writes));
    lease_ = lease;
    term_ += LockTermId(1);
    termEnd_ = calledAt + leaseTerm;
    answeredAt_ = SteadyClock().now();
    leaseLog.info("Instance entry written.", { { "key", key_ }, { "lease", lease.number }, { "store_era", lease.era } });
}

std::string formatMember(const Member& member)
{
    const nlohmann::json entry { { "id", member.id.value() }, { "region", member.region.value() }, { "data_centre", member.dataCentre.value() },
        { "callers", member.callers.toString() }, { "peers", member.peers.toString() }, { "incarnation", member.incarnation.count() }, { "processor", member.processorShare } };
    return toJsonText(entry);
}

std::optional<Member> parseMember(std::string_view value)
{
    const auto entry = nlohmann::json::parse(value, nullptr, false);
    if (!entry.is_object())
        return std::nullopt;
    const auto text = [&entry](const char* field) {
        const auto found = entry.find(field);
        return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    const auto callers = parseEndpoint(text("callers"));
    const auto peers = parseEndpoint(text("peers"));
    if (text("id").empty() || !callers || !peers)
        return std::nullopt;
    Member member { InstanceId(text("id")), RegionId(text("region")), DataCentreId(text("data_centre")), *callers, *peers, MemberState::Live };
    const auto incarnation = entry.find("incarnation");
    if (incarnation != entry.end() && incarnation->is_number_unsigned())
        member.incarnation = Incarnation(incarnation->get<std::uint64_t>());
    const auto processor = entry.find("processor");
    if (processor != entry.end() && processor->is_number() && processor->get<double>() > 0)
        member.processorShare = processor->get<double>();
    return member;
}

} // namespace Ibisturn
