#pragma once

#include <LibKernel/AnswerSink.h>

#include <string>

namespace Ibisturn::Testing {

/// Keeps the answer written to it. Thread safety: one thread at a time.
class RecordingSink final : public AnswerSink {
public:
    AnswerHead head;
    std::string body;
    bool hasEnded { false };

    Task<void> writeHead(const AnswerHead& newHead) override
    {
        head = newHead;
        co_return;
    }

    Task<void> writePart(std::string_view part) override
    {
        body += part;
        co_return;
    }

    Task<void> writeEnd() override
    {
        hasEnded = true;
        co_return;
    }
};

} // namespace Ibisturn::Testing
