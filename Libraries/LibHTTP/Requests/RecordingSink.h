#pragma once

#include <LibCore/Quantity.h>
#include <LibDecision/Claims/ClaimRecord.h>
#include <LibKernel/AnswerSink.h>

#include <optional>

namespace Ibisturn {

/// Relays an answer and keeps a copy of limited size. If the reader disconnects, the rest is still recorded, so that a
/// retry gets the complete answer.
/// Thread safety: one coroutine at a time.
class RecordingSink final : public AnswerSink {
public:
    /// Precondition: `reader` outlives the sink.
    RecordingSink(AnswerSink& reader, ByteCount limit);

    Task<void> writeHead(const AnswerHead& head) override;
    Task<void> writePart(std::string_view part) override;
    Task<void> writeEnd() override;

    /// Moves the complete answer out; empty if it did not end or exceeds the limit.
    std::optional<StoredAnswer> takeAnswer();

    /// Whether the reader disconnected before the end of the answer.
    bool hasReaderDisconnected() const { return hasReaderDisconnected_; }

private:
    AnswerSink& reader_;
    ByteCount limit_;
    StoredAnswer answer_;
    bool isTooLarge_ { false };
    bool hasEnded_ { false };
    bool hasReaderDisconnected_ { false };
};

} // namespace Ibisturn
