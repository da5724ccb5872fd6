#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <cstdint>
#include <deque>
#include <string>

namespace Ibisturn {

/// Sends span documents to an OTLP/JSON collector, one after the other. A slow or absent collector costs
/// spans, never requests: the queue is bounded.
/// Thread safety: add() from any thread; the rest on the worker of the event loop.
class SpanExporter {
public:
    /// Precondition: `context` outlives the exporter.
    SpanExporter(Asio::io_context& context, Endpoint collector);

    /// Queues a document; drops it if the queue is full.
    void add(std::string document);

    /// Documents that were dropped.
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
