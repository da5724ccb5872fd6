#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// What may be done with the answer of one attempt of a request.
enum class StreamAnswer : std::uint8_t {
    /// It may be relayed, and another attempt may go on with it if it breaks off.
    Resumable,
    /// It may be relayed, but no other attempt may go on with it, since it is not known which software version sends it.
    NotResumable,
    /// Nothing of it may be relayed: another software version began the stream.
    Rejected,
};

/// Which software version may run the attempts of one request, at one instance. A new stream may begin at any version, and again at any
/// other one until an event of it was relayed; from then on it stays with the version that sent this event. A request that resumes
/// a stream is bound from the start. Thread safety: one thread at a time.
class StreamBinding {
public:
    /// For a request that is not bound to a version: its answer is never resumed.
    StreamBinding() = default;

    /// For a request that begins a stream that may be resumed.
    static StreamBinding forNewStream();

    /// For a request that goes on with a stream that `version` began. Precondition: `version` is not empty.
    static StreamBinding forVersion(SoftwareVersion version);

    /// The only version that may run the next attempt; unset if any may.
    const std::optional<SoftwareVersion>& requiredVersion() const { return required_; }

    /// The head of an attempt's answer arrived; `version` is that of the backend server, or empty if it is not known.
    StreamAnswer onAnswerBegan(const SoftwareVersion& version);

    /// The version of the backend server that answers; empty if it is not known or if none answers.
    const SoftwareVersion& answeringVersion() const { return answering_; }

    /// Must be called before an event of the present answer is relayed. Returns whether it is the first event of the request.
    bool onEventRelayed();

private:
    bool isStream_ { false };
    bool hasRelayedEvent_ { false };
    std::optional<SoftwareVersion> required_;
    SoftwareVersion answering_;
};

} // namespace Ibisturn
