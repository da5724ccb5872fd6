#include <LibHTTP/Operators/SpanExporter.h>

#include <LibCore/Log.h>
#include <LibKernel/HttpClient.h>
#include <LibKernel/SpawnDetached.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log spanLog("spans");
constexpr std::size_t maxQueued = 1024;
constexpr Duration collectorTimeout = std::chrono::seconds(1);
constexpr const char* collectorPath = "/v1/traces";

HttpCall makeCall(const Endpoint& collector, std::string document)
{
    HttpCall call;
    call.endpoint = collector;
    call.method = "POST";
    call.target = collectorPath;
    call.headers.push_back({ "Content-Type", "application/json" });
    call.body = std::move(document);
    call.timeout = collectorTimeout;
    return call;
}

} // namespace

SpanExporter::SpanExporter(Asio::io_context& context, Endpoint collector)
    : context_(context)
    , collector_(std::move(collector))
{
}

void SpanExporter::add(std::string document)
{
    Asio::post(context_, [this, document = std::move(document)]() mutable { enqueue(std::move(document)); });
}

void SpanExporter::enqueue(std::string document)
{
    if (queue_.size() >= maxQueued) {
        ++dropped_;
        return;
    }
    queue_.push_back(std::move(document));
    if (isDraining_)
        return;
    isDraining_ = true;
    spawnDetached(context_, drain(), "span exporter");
}

Task<void> SpanExporter::drain()
{
    while (!queue_.empty()) {
        HttpCall call = makeCall(collector_, std::move(queue_.front()));
        queue_.pop_front();
        try {
            co_await exchangeHttp(std::move(call));
        } catch (const boost::system::system_error& error) {
            ++dropped_;
            spanLog.debug("Span not delivered.", { { "reason", error.code().message() } });
        }
    }
    isDraining_ = false;
}

} // namespace Ibisturn
