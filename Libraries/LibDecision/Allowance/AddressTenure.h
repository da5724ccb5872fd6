#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <map>

namespace Ibisturn {

/// A number that a probe of an instance's own address carries.
using ProbeNumber = Quantity<struct ProbeTag, std::uint64_t>;

/// Counts the unbroken spells for which an instance held its address.
using TenureNumber = Quantity<struct TenureTag, std::uint64_t>;

/// How long a proof of an address lasts, and how long the rights that an earlier holder gave away may.
struct TenureLimits {
    /// How long a proof lasts, counted from before its probe was sent.
    Duration length;
    /// The longest that a loan from an earlier holder of the address lasts.
    Duration longestLoan;
};

/// Whether this process holds its listening address alone. A probe goes to another instance, which sends it on to
/// the address by a new datagram: only the process that the address leads to gets it back. A holder starts after
/// everything that an earlier holder of the address can have spent or lent has ended. No store is needed.
/// Thread safety: one thread at a time.
class AddressTenure {
public:
    explicit AddressTenure(TenureLimits limits);

    /// Notes a probe that is about to be sent and names it. Precondition: `now` was read before the sending.
    ProbeNumber beginProbe(TimePoint now);

    /// Notes that the probe came back at the listening address. An unknown or second one changes nothing.
    void completeProbe(ProbeNumber number, TimePoint now);

    /// Whether what the address gives may be spent at `now`, to be asked at the moment of spending.
    bool isHeld(TimePoint now) const { return now >= spendFrom_ && now < spendUntil_; }

    /// The spell that the last proof belongs to; zero before the first one.
    TenureNumber number() const { return number_; }

    /// When the spell began to earn. Precondition: number() is not zero.
    TimePoint spendFrom() const { return spendFrom_; }

private:
    TenureLimits limits_;
    std::uint64_t nextProbe_ { 1 };
    std::map<ProbeNumber, TimePoint> probes_;
    TenureNumber number_;
    TimePoint spendFrom_;
    TimePoint spendUntil_;
};

} // namespace Ibisturn
