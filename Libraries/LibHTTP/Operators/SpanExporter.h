#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <cstdint>
#include <deque>
#include <string>

namespace Ibisturn {

/// Sends span documents to an OTLP/JSON collector, one after the other. The queue is bounded: a slow or unavailable
/// collector causes spans to be dropped but does not affect requests.
/// Thread safety: add() from any thread; the rest on the worker of the event loop.
class SpanExporter {
public:
    /// Precondition: `context` outlives the exporter.
    SpanExporter(Asio::io_context& context, Endpoint collector);

    /// Queues a document; drops it if the queue is full.
    void add(std::string document);

    /// The number of documents that were dropped because the queue was full or the collector failed.
    std::uint64_t dropped() const { return dropped_; }

private:
    void enqueue(std::string document);
    Task<void> drain();

    Asio::io_context& context_;
    Endpoint collector_;
    std::deque<std::string> queue_;
    bool isDraining_ { false };
    std::uint64_t dropped_ { 0 };
};

} // namespace Ibisturn
