#pragma once

#include <LibConfiguration/Records.h>
#include <LibCore/Error.h>
#include <LibDecision/Routing/PlaceDecision.h>

#include <variant>

namespace Ibisturn {

/// Counts the attempts of one request; events of an attempt that is over are ignored.
using AttemptId = Quantity<struct AttemptTag, std::uint32_t>;

/// The head was read; `access` was decided on it.
struct HeadRead {
    ResultCode access { ResultCode::Ok };
};

/// The body was taken in and the route is known.
struct BodyTaken {
    Repeatability repeatability { Repeatability::NonIdempotent };
};

/// The place decision that ChoosePlace asked for.
struct PlaceChosen {
    Place place;
};

/// The connection of an attempt stands and the request could be written; `access` was decided just now.
struct HandOverAsked {
    AttemptId attempt;
    ResultCode access { ResultCode::Ok };
};

/// The head of an answer arrived.
struct AnswerBegan {
    AttemptId attempt;
    ResumeSupport resume { ResumeSupport::Unsupported };
};

/// A part of an answer arrived.
struct PartArrived {
    AttemptId attempt;
};

/// The answer is whole.
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
    /// Nobody who would know said whether the request ran.
    None,
    /// The backend server itself said that it did not run it.
    Refusal,
};

/// The attempt failed: not connected, refused by a peer, timed out or cut.
struct AttemptFailed {
    AttemptId attempt;
    ResultCode code { ResultCode::OutcomeUnknown };
    /// What the other side or the client of the connection says; of a peer that refused, it is proof.
    Ran ran { Ran::Unknown };
    FailedPart part { FailedPart::Target };
    RanProof proof { RanProof::None };
};

/// Access was decided again on a new snapshot.
struct AccessReviewed {
    ResultCode access { ResultCode::Ok };
};

/// The caller, or the origin of a forwarded request, closed its connection.
struct CallerLeft {
};

/// The deadline that the caller gave is over.
struct DeadlinePassed {
};

/// The instance began to shut down.
struct DrainBegan {
};

using RequestEvent = std::variant<HeadRead, BodyTaken, PlaceChosen, HandOverAsked, AnswerBegan, PartArrived, AnswerEnded, AttemptFailed,
    AccessReviewed, CallerLeft, DeadlinePassed, DrainBegan>;

} // namespace Ibisturn
