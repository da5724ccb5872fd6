#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Ibisturn {

/// Numbered results, grouped by thousands: 1 input, 2 identity and location, 3 admission, 4 execution,
/// 5 configuration, 6 settings, 9 internal. docs/RESULT-CODES.md lists them for operators.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    MalformedRequest = 1001,
    HeadTooLarge = 1002,
    BodyTooLarge = 1003,
    MalformedBody = 1004,
    PathUnknown = 1005,
    MethodNotAllowed = 1006,
    RequestReadTimeout = 1007,
    MalformedFrame = 1008,
    FrameTooLarge = 1009,
    FrameVersionUnknown = 1010,
    BodyTooDeep = 1011,
    KeyMissing = 2001,
    KeyUnknown = 2002,
    RouteNotFound = 2003,
    WorkspaceNotAllowed = 2004,
    ResidencyRefused = 2005,
    RecordSchemaUnknown = 2006,
    OperatorRefused = 2007,
    AllowanceExceeded = 3001,
    Overloaded = 3002,
    DeadlineUnreachable = 3003,
    Draining = 3004,
    NoBackendServer = 3005,
    ConfigurationNotReady = 3006,
    ConfigurationBehind = 3007,
    PromptQuarantined = 3008,
    MemoryUsedUp = 3009,
    ConnectionsUsedUp = 3010,
    StreamOriginUnknown = 3011,
    StreamVersionGone = 3012,
    BackendUnreachable = 4001,
    OutcomeUnknown = 4002,
    AnswerCut = 4003,
    BackendTimeout = 4004,
    IdempotencyMismatch = 4005,
    PeerUnreachable = 4006,
    DeadlineExceeded = 4007,
    CallerGone = 4008,
    BackendBusy = 4009,
    BackendReplaced = 4010,
    BackendFailed = 4011,
    RecordInvalid = 5001,
    RevisionConflict = 5002,
    StoreUnavailable = 5003,
    WriteOutcomeUnknown = 5004,
    RecordNotFound = 5005,
    SettingsInvalid = 6001,
    InternalError = 9001,
};

/// One row of the table of result codes.
struct ResultCodeEntry {
    ResultCode code;
    /// Stable name, sent to callers in an error's `code`.
    std::string_view name;
    /// HTTP status of the response.
    unsigned httpStatus;
    std::string_view meaning;
};

/// All result codes in ascending order. Thread safety: any thread.
std::span<const ResultCodeEntry> resultCodes();

/// The row of `code`. Precondition: `code` is one of the enumerators. Thread safety: any thread.
const ResultCodeEntry& resultCodeEntry(ResultCode code);

/// The code with this number, if there is one. Thread safety: any thread.
std::optional<ResultCode> resultCodeFromNumber(std::uint16_t number);

} // namespace Ibisturn
