#pragma once

#include <LibDecision/Requests/RequestEvent.h>

#include <variant>
#include <vector>

namespace Ibisturn {

/// Read the body.
struct TakeBody {
};

enum class ResumeNeed : std::uint8_t {
    /// The answer starts from the beginning.
    None,
    /// The answer continues after the last complete event, on a backend server that can resume.
    AfterLastEvent,
};

/// Choose a place, excluding those that failed, and report PlaceChosen.
struct ChoosePlace {
    ResumeNeed resume { ResumeNeed::None };
};

/// Connect to a backend server of this data centre and report HandOverAsked.
struct DispatchHere {
    AttemptId attempt;
    BackendServerId backendServer;
};

/// Connect to an instance of another data centre and report HandOverAsked.
struct ForwardToPeer {
    AttemptId attempt;
    InstanceId instance;
};

/// Write the request on the connection of the attempt.
struct HandOver {
    AttemptId attempt;
};

/// Relay the content of the event to the caller.
struct PassOn {
};

/// Close the connection of the attempt, which cancels it.
struct CancelAttempt {
    AttemptId attempt;
};

/// End the answer as complete.
struct EndAnswer {
};

/// Answer with this error. Nothing has been sent to the caller yet.
struct AnswerWithError {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::No };
};

/// Send an error event and end the answer without a clean end. The caller has received a part of the answer.
struct CutWithError {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::Yes };
};

using RequestAction = std::variant<TakeBody, ChoosePlace, DispatchHere, ForwardToPeer, HandOver, PassOn, CancelAttempt, EndAnswer, AnswerWithError,
    CutWithError>;
using RequestActions = std::vector<RequestAction>;

} // namespace Ibisturn
