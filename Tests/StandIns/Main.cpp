#include "StandInEngine.h"
#include "StandInLiveList.h"
#include "StandInPlatformStore.h"
#include "StandInReplica.h"
#include "StandInServer.h"
#include "StandInService.h"
#include "StandInStore.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace Ibisturn::StandIns {

namespace {

/// The command line of the stand-ins.
struct Options {
    std::string listen { "127.0.0.1:0" };
    double callsPerSecond { 2000 };
    std::string file;
    std::uint32_t lagMilliseconds { 500 };
    std::string name { "engine" };
    EngineOptions engine;
    std::uint32_t runMilliseconds { 5 };
    ReplicaOptions replica;
    std::string store;
};

void serve(const Options& options, Handler handler)
{
    const auto endpoint = parseEndpoint(options.listen);
    if (!endpoint)
        throw std::invalid_argument("--listen must be an IP address and a port");
    StandInServer server(*endpoint, std::move(handler));
    fmt::print("listening {}\n", server.endpoint().toString());
    std::fflush(stdout);
    server.run();
}

template <typename StandIn>
void serveStandIn(const Options& options, StandIn& standIn)
{
    serve(options, [&standIn](const HttpRequest& request, Responder& responder) { standIn.handle(request, responder); });
}

void serveStore(const Options& options)
{
    StandInStore store(options.callsPerSecond);
    serveStandIn(options, store);
}

void serveLiveList(const Options& options)
{
    const std::ifstream file(options.file);
    std::ostringstream text;
    text << file.rdbuf();
    StandInLiveList list(text.str(), std::chrono::milliseconds(options.lagMilliseconds));
    serveStandIn(options, list);
}

void serveEngine(const Options& options)
{
    StandInEngine engine(options.name, options.engine);
    serveStandIn(options, engine);
}

void serveService(const Options& options)
{
    StandInService service(options.runMilliseconds);
    serveStandIn(options, service);
}

void servePlatformStore(const Options& options)
{
    StandInPlatformStore store;
    serveStandIn(options, store);
}

void serveReplica(const Options& options)
{
    const auto listen = parseEndpoint(options.listen);
    const auto store = parseEndpoint(options.store);
    if (!listen || !store)
        throw std::invalid_argument("--listen and --store must be an IP address and a port");
    StandInReplica replica(options.replica);
    StandInServer server(*listen, [&replica](const HttpRequest& request, Responder& responder) { replica.handle(request, responder); });
    replica.startRegistration(server.endpoint(), *store);
    fmt::print("listening {}\n", server.endpoint().toString());
    std::fflush(stdout);
    server.run();
}

int run(int argc, char** argv)
{
    Options options;
    CLI::App app { "Stand-ins for the platform and the backend servers, for tests only" };
    app.require_subcommand(1);
    app.add_option("--listen", options.listen, "IP:PORT; port 0 takes any free port");
    auto* store = app.add_subcommand("store", "Key-value store (etcd v3 JSON gateway subset)")->fallthrough();
    store->add_option("--calls-per-second", options.callsPerSecond);
    store->callback([&options] { serveStore(options); });
    auto* live = app.add_subcommand("live", "Lagging live list")->fallthrough();
    live->add_option("--file", options.file)->required();
    live->add_option("--lag-ms", options.lagMilliseconds);
    live->callback([&options] { serveLiveList(options); });
    auto* engine = app.add_subcommand("engine", "Model engine (OpenAI API)")->fallthrough();
    engine->add_option("--name", options.name);
    engine->add_option("--tokens", options.engine.tokens);
    engine->add_option("--token-ms", options.engine.tokenMilliseconds);
    engine->add_option("--cut-after", options.engine.truncateAfterTokens);
    engine->add_option("--slots", options.engine.slots);
    engine->add_option("--prefill-ms", options.engine.prefillMilliseconds);
    engine->add_option("--report-lag-ms", options.engine.reportLagMilliseconds);
    engine->add_flag("--resume", options.engine.supportsResume);
    engine->callback([&options] { serveEngine(options); });
    auto* service = app.add_subcommand("service", "Plain service that counts its runs")->fallthrough();
    service->add_option("--run-ms", options.runMilliseconds);
    service->callback([&options] { serveService(options); });
    auto* platformStore = app.add_subcommand("platform-store", "The platform's metadata store")->fallthrough();
    platformStore->callback([&options] { servePlatformStore(options); });
    auto* replica = app.add_subcommand("replica", "A replica that registers itself in the platform's store")->fallthrough();
    replica->add_option("--id", options.replica.id)->required();
    replica->add_option("--service", options.replica.service)->required();
    replica->add_option("--zone", options.replica.zone)->required();
    replica->add_option("--store", options.store)->required();
    replica->add_option("--events", options.replica.events);
    replica->add_option("--event-ms", options.replica.eventMilliseconds);
    replica->add_option("--cut-after", options.replica.truncateAtEvent, "Truncates the first stream in the middle of this event");
    replica->add_option("--fail-first", options.replica.failures, "Answers this many requests with 500");
    replica->add_option("--refuse-first", options.replica.refusals, "Refuses this many requests as not executed");
    replica->callback([&options] { serveReplica(options); });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    return 0;
}

} // namespace

} // namespace Ibisturn::StandIns

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return Ibisturn::StandIns::run(argc, argv);
}
