#include <LibKernel/WorkerPool.h>

#include <LibCore/Log.h>

namespace Ibisturn {

namespace {

constexpr Log workerLog("worker");

// An exception that leaves a handler ends only that handler: the other requests of the worker go on.
void runContext(Asio::io_context& context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            workerLog.error("A handler of the event loop failed.", { { "reason", error.what() } });
        }
    }
}

} // namespace

WorkerPool::WorkerPool(std::uint32_t count)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        // A concurrency hint of 1 reduces the event loop's internal locking, since exactly one thread runs each.
        contexts_.push_back(std::make_unique<Asio::io_context>(1));
        guards_.push_back(Asio::make_work_guard(*contexts_.back()));
    }
}

WorkerPool::~WorkerPool()
{
    stop();
    for (auto& thread : threads_)
        thread.join();
}

void WorkerPool::run()
{
    for (std::size_t index = 1; index < contexts_.size(); ++index)
        threads_.emplace_back([this, index] { runContext(*contexts_.at(index)); });
    runContext(*contexts_.front());
}

void WorkerPool::stop()
{
    for (const auto& context : contexts_)
        context->stop();
}

} // namespace Ibisturn
