#pragma once

#include <LibConfiguration/Settings.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Ibisturn::Scenarios {

struct CallerHeader {
    std::string name;
    std::string value;
};

/// A request as a caller sends it.
struct CallerRequest {
    Endpoint endpoint;
    std::string method { "POST" };
    std::string target;
    std::vector<CallerHeader> headers;
    std::string body;
};

/// What a caller has seen of an answer so far.
struct CallerAnswer {
    /// Zero until the head came.
    unsigned status { 0 };
    std::string body;
    bool isEnded { false };
    /// Whether HTTP said that the answer is complete.
    bool isComplete { false };

    /// Whether the answer is whole: complete and, for an event stream, with its last event.
    bool isWhole() const;
};

/// Sends one request on a thread of its own and shows the answer as it comes.
/// Thread safety: one thread besides its own.
class HttpCaller {
public:
    explicit HttpCaller(CallerRequest request);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    /// Waits until the body holds `text`, or the answer or the time ended; returns whether it does.
    bool awaitPart(const std::string& text, std::chrono::milliseconds within);

    /// Waits until the answer or the time ended and returns what came.
    CallerAnswer awaitEnd(std::chrono::milliseconds within);

private:
    void run(const CallerRequest& request);
    void exchange(const CallerRequest& request);

    std::mutex mutex_;
    std::condition_variable changed_;
    CallerAnswer answer_;
    int socket_ { -1 };
    std::thread thread_;
};

/// Sends one request and waits for its answer.
CallerAnswer call(const CallerRequest& request);

} // namespace Ibisturn::Scenarios
