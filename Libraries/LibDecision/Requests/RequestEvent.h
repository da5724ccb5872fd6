#pragma once

#include <LibConfiguration/Records.h>
#include <LibCore/Error.h>
#include <LibDecision/Routing/PlaceDecision.h>

#include <variant>

namespace Ibisturn {

/// Number of an attempt of one request; events of finished attempts are ignored.
using AttemptId = Quantity<struct AttemptTag, std::uint32_t>;

/// The request head was read; `access` is the decision based on it.
struct HeadRead {
    ResultCode access { ResultCode::Ok };
};

/// The request body was read and the route is known.
struct BodyRead {
    Repeatability repeatability { Repeatability::NonIdempotent };
};

/// Result of ChoosePlace.
struct PlaceChosen {
    Place place;
};

/// The connection of an attempt is established and the request can be written; `access` was decided immediately before.
struct ConnectionReady {
    AttemptId attempt;
    ResultCode access { ResultCode::Ok };
};

/// The head of an answer arrived.
struct AnswerBegan {
    AttemptId attempt;
    ResumeSupport resume { ResumeSupport::Unsupported };
};

/// A part of an answer arrived.
struct AnswerPartArrived {
    AttemptId attempt;
};

/// The answer is complete.
struct AnswerEnded {
    AttemptId attempt;
};

enum class FailedPart : std::uint8_t {
    /// The backend server or the instance that the attempt went to, or the link to it.
    Target,
    /// A backend server of the instance that the attempt went to; the instance may have others.
    BackendOfPeer,
};

enum class RanProof : std::uint8_t {
    /// There is no proof of whether the request ran.
    None,
    /// The backend server refused the request, so it did not run.
    Refusal,
};

/// The attempt failed: not connected, refused by a peer, timed out or truncated.
struct AttemptFailed {
    AttemptId attempt;
    ResultCode code { ResultCode::OutcomeUnknown };
    /// As reported by the other side or by the connection's client; a report by a peer that refused is proof.
    Ran ran { Ran::Unknown };
    FailedPart part { FailedPart::Target };
    RanProof proof { RanProof::None };
};

/// Access was decided again under a new snapshot.
struct AccessReviewed {
    ResultCode access { ResultCode::Ok };
};

/// The caller, or the origin of a forwarded request, closed its connection.
struct CallerDisconnected {
};

/// The deadline that the caller set has passed.
struct DeadlinePassed {
};

/// The instance started to drain.
struct DrainBegan {
};

using RequestEvent = std::variant<HeadRead, BodyRead, PlaceChosen, ConnectionReady, AnswerBegan, AnswerPartArrived, AnswerEnded, AttemptFailed,
    AccessReviewed, CallerDisconnected, DeadlinePassed, DrainBegan>;

} // namespace Ibisturn
