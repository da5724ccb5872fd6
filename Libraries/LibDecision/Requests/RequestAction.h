#pragma once

#include <LibDecision/Requests/RequestEvent.h>

#include <variant>
#include <vector>

namespace Ibisturn {

/// Read the body.
struct TakeBody {
};

enum class ResumeNeed : std::uint8_t {
    /// The answer begins anew.
    None,
    /// The answer goes on after the last whole event, on a backend server that can resume.
    AfterLastEvent,
};

/// Decide on a place, without the ones that failed, and report PlaceChosen.
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

/// Pass to the caller what the event brought.
struct PassOn {
};

/// Close the connection of the attempt, which cancels it.
struct CancelAttempt {
    AttemptId attempt;
};

/// End the answer as whole.
struct EndAnswer {
};

/// Nothing was shown to the caller: answer with this error.
struct AnswerWithError {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::No };
};

/// The caller saw a part of the answer: show an error event and end without a clean end.
struct CutWithError {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::Yes };
};

using RequestAction = std::variant<TakeBody, ChoosePlace, DispatchHere, ForwardToPeer, HandOver, PassOn, CancelAttempt, EndAnswer, AnswerWithError,
    CutWithError>;
using RequestActions = std::vector<RequestAction>;

} // namespace Ibisturn
