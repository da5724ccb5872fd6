#include <LibHTTP/Requests/RecordingSink.h>

#include <LibCore/Error.h>

#include <utility>

namespace Ibisturn {

RecordingSink::RecordingSink(AnswerSink& reader, ByteCount limit)
    : reader_(reader)
    , limit_(limit)
{
}

Task<void> RecordingSink::writeHead(const AnswerHead& head)
{
    answer_.status = head.status;
    answer_.contentType = head.contentType;
    try {
        co_await reader_.writeHead(head);
    } catch (const std::exception&) {
        hasReaderDisconnected_ = true;
    }
}

Task<void> RecordingSink::writePart(std::string_view part)
{
    isTooLarge_ = isTooLarge_ || answer_.body.size() + part.size() > limit_.count();
    if (!isTooLarge_)
        answer_.body.append(part);
    if (hasReaderDisconnected_)
        co_return;
    try {
        co_await reader_.writePart(part);
    } catch (const std::exception&) {
        hasReaderDisconnected_ = true;
    }
}

Task<void> RecordingSink::writeEnd()
{
    hasEnded_ = true;
    if (hasReaderDisconnected_)
        co_return;
    try {
        co_await reader_.writeEnd();
    } catch (const std::exception&) {
        hasReaderDisconnected_ = true;
    }
}

std::optional<StoredAnswer> RecordingSink::takeAnswer()
{
    if (!hasEnded_ || isTooLarge_)
        return std::nullopt;
    return std::move(answer_);
}

} // namespace Ibisturn
