#pragma once

#include <LibKernel/Asio.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace Ibisturn {

/// A pool of workers, each a thread with its own event loop. A connection stays on the worker that it
/// was assigned to; workers share only tables that are protected by OrderedMutex.
class WorkerPool {
public:
    /// Precondition: `count` is positive.
    explicit WorkerPool(std::uint32_t count);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// The number of workers. Thread safety: any thread.
    std::size_t size() const { return contexts_.size(); }

    /// The event loop of one worker. Precondition: `index` < size(). Thread safety: any thread.
    Asio::io_context& context(std::size_t index) { return *contexts_.at(index); }

    /// The index of the worker for the next connection, in round-robin order. Thread safety: any thread.
    std::size_t nextIndex() { return next_++ % contexts_.size(); }

    /// Runs all workers, the first on the calling thread, until stop(). An exception that leaves a handler is
    /// logged, and the worker goes on. Thread safety: call once, from one thread.
    void run();

    /// Makes run() return. Thread safety: any thread.
    void stop();

private:
    using WorkGuard = Asio::executor_work_guard<Asio::io_context::executor_type>;

    std::vector<std::unique_ptr<Asio::io_context>> contexts_;
    std::vector<WorkGuard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> next_ { 0 };
};

} // namespace Ibisturn
