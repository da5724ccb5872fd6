#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <map>

namespace Ibisturn {

/// Identifies a probe that an instance sends to its own address.
using ProbeNumber = Quantity<struct ProbeTag, std::uint64_t>;

/// Counts the uninterrupted periods during which an instance owned its address.
using OwnershipEpoch = Quantity<struct OwnershipTag, std::uint64_t>;

/// How long a proof of address ownership is valid, and how long loans made by an earlier owner may last.
struct OwnershipLimits {
    /// How long a proof is valid, measured from before its probe was sent.
    Duration proofLifetime;
    /// The maximum duration of a loan made by an earlier owner of the address.
    Duration maxLoanTerm;
};

/// Proves that this process is the only owner of its listening address. A probe is sent to another instance, which
/// sends it to the address in a new datagram, so only the process to which the address is routed gets it back. A new
/// owner starts spending after everything that an earlier owner can have spent or lent has expired. No store is needed.
/// Thread safety: one thread at a time.
class AddressOwnership {
public:
    explicit AddressOwnership(OwnershipLimits limits);

    /// Records a probe that is about to be sent and numbers it. Precondition: `now` was read before sending.
    ProbeNumber beginProbe(TimePoint now);

    /// Records that the probe arrived at the listening address. Unknown and duplicate probes are ignored.
    void completeProbe(ProbeNumber number, TimePoint now);

    /// Whether the share that belongs to the address may be spent at `now`; to be checked at the moment of spending.
    bool isOwned(TimePoint now) const { return now >= spendFrom_ && now < spendUntil_; }

    /// The ownership period that the last proof belongs to; zero before the first one.
    OwnershipEpoch epoch() const { return epoch_; }

    /// When the share starts to refill in this period, and may first be spent. Precondition: epoch() is not zero.
    TimePoint spendFrom() const { return spendFrom_; }

private:
    OwnershipLimits limits_;
    std::uint64_t nextProbe_ { 1 };
    std::map<ProbeNumber, TimePoint> probes_;
    OwnershipEpoch epoch_;
    TimePoint spendFrom_;
    TimePoint spendUntil_;
};

} // namespace Ibisturn
