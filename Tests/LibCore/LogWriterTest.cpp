#include <LibCore/LogWriter.h>

#include <array>
#include <thread>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

/// A pipe that is only read on demand.
class Pipe {
public:
    Pipe()
    {
        if (::pipe(ends_.data()) != 0)
            throw std::runtime_error("pipe() failed");
    }
    ~Pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writer() const { return ends_[1]; }

    /// Reads what is available, up to 64 KiB.
    std::string read()
    {
        std::array<char, 65536> buffer {};
        const auto count = ::read(ends_[0], buffer.data(), buffer.size());
        return { buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, count)) };
    }

private:
    std::array<int, 2> ends_ {};
};

void writeLine(LogWriter& writer, std::string_view line, LineKind kind)
{
    if (writer.admit(kind))
        writer.write(line);
}

} // namespace

TEST(LogWriter, WritesLinesAtOnce)
{
    Pipe pipe;
    LogWriter writer(pipe.writer());
    writeLine(writer, "one\n", LineKind::Ordinary);
    EXPECT_EQ(pipe.read(), "one\n");
}

TEST(LogWriter, DoesNotBlockOnStalledReader)
{
    Pipe pipe;
    LogLimits limits;
    limits.linesPerSecond = 1'000'000;
    LogWriter writer(pipe.writer(), limits);
    const std::string line(1000, 'x');
    // Exceeds the capacity of the pipe and the buffer together; a blocking writer would never return.
    for (int index = 0; index < 1000; ++index)
        writeLine(writer, line + "\n", LineKind::Ordinary);
    EXPECT_GT(writer.dropped(), 300U);
    EXPECT_FALSE(pipe.read().empty());
}

TEST(LogWriter, LimitsOrdinaryButNotImportantLines)
{
    Pipe pipe;
    LogWriter writer(pipe.writer(), { 10, 100'000 });
    for (int index = 0; index < 500; ++index)
        writeLine(writer, "o\n", LineKind::Ordinary);
    writeLine(writer, "important\n", LineKind::Important);
    const auto text = pipe.read();
    EXPECT_LE(std::count(text.begin(), text.end(), 'o'), 22);
    EXPECT_NE(text.find("important"), std::string::npos);
    EXPECT_GE(writer.dropped(), 480U);
}

// Under heavy load each request writes lines, and those on what the instance believes explain them.
TEST(LogWriter, LinesOnRequestsDoNotDisplaceOthers)
{
    Pipe pipe;
    LogWriter writer(pipe.writer(), { 10, 100'000 });
    for (int index = 0; index < 500; ++index)
        writeLine(writer, "r\n", LineKind::Request);
    writeLine(writer, "belief\n", LineKind::Ordinary);
    const auto text = pipe.read();
    EXPECT_LE(std::count(text.begin(), text.end(), 'r'), 22);
    EXPECT_NE(text.find("belief"), std::string::npos);
}

TEST(LogWriter, ReportsNumberOfDroppedLines)
{
    Pipe pipe;
    LogWriter writer(pipe.writer(), { 1, 100'000 });
    for (int index = 0; index < 5; ++index)
        writeLine(writer, "o\n", LineKind::Ordinary);
    std::this_thread::sleep_for(std::chrono::milliseconds(1050));
    writeLine(writer, "later\n", LineKind::Ordinary);
    EXPECT_NE(pipe.read().find("Lines dropped. lines=4"), std::string::npos);
}

} // namespace Ibisturn::Testing
