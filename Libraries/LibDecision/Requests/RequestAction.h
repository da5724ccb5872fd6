#pragma once

#include <LibDecision/Requests/RequestEvent.h>

#include <variant>
#include <vector>

namespace Ibisturn {

/// Read the body.
struct ReadBody {
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

/// Connect to a backend server of this data centre and report ConnectionReady.
struct DispatchLocally {
    AttemptId attempt;
    BackendServerId backendServer;
};

/// Connect to an instance of another data centre and report ConnectionReady.
struct ForwardToPeer {
    AttemptId attempt;
    InstanceId instance;
};

/// Write the request on the connection of the attempt.
struct WriteRequest {
    AttemptId attempt;
};

/// Relay the content of the event to the caller.
struct RelayToCaller {
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
struct TruncateWithError {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::Yes };
};

using RequestAction = std::variant<ReadBody, ChoosePlace, DispatchLocally, ForwardToPeer, WriteRequest, RelayToCaller, CancelAttempt, EndAnswer, AnswerWithError,
    TruncateWithError>;
using RequestActions = std::vector<RequestAction>;

} // namespace Ibisturn
