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

/// What a caller has received of an answer so far.
struct CallerAnswer {
    /// Zero until the head has been received.
    unsigned status { 0 };
    std::string body;
    bool isEnded { false };
    /// Whether the HTTP message is complete.
    bool isComplete { false };

    /// Whether the HTTP message is complete and, for an event stream, includes the terminal event.
    bool isWhole() const;
};

/// Sends one request on a separate thread and exposes the answer while it is being received.
/// Thread safety: one thread.
class HttpCaller {
public:
    explicit HttpCaller(CallerRequest request);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    /// Waits until the body contains `text`, the answer has ended, or `within` has passed; returns whether the body contains it.
    bool awaitPart(const std::string& text, std::chrono::milliseconds within);

    /// Waits until the answer has ended or `within` has passed, and returns what has been received.
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
