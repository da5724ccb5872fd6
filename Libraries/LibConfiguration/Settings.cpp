#include <LibConfiguration/Settings.h>

#include <LibConfiguration/SettingsError.h>
#include <LibConfiguration/SettingsSection.h>
#include <LibCore/Digest.h>

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace Ibisturn {

namespace {

constexpr std::uint32_t maxWorkers = 64;
constexpr std::uint32_t maxAllowanceSlack = 1'000'000'000;
constexpr std::uint32_t maxRetryReserve = 1'000'000;
constexpr double maxCores = 4096;
constexpr std::uint64_t bytesPerMegabyte = 1000UL * 1000;
constexpr std::uint32_t maxProcessMegabytes = 1024U * 1024;
constexpr std::uint32_t maxProcessDescriptors = 16U * 1024 * 1024;
constexpr ByteCount maxHeadSize { 1024UL * 1024 };
constexpr ByteCount maxBodySize { 1024UL * 1024 * 1024 };

bool isIpAddress(const std::string& text)
{
    // inet_pton() would stop reading at a null byte.
    if (text.find('\0') != std::string::npos)
        return false;
    in6_addr buffer {};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

// Port 0 selects any free port, so two such listeners do not conflict.
bool isSameListener(const Endpoint& left, const Endpoint& right)
{
    return left.port != 0 && left == right;
}

std::optional<TlsSettings> readTls(SettingsSection section)
{
    if (!section.isPresent())
        return std::nullopt;
    TlsSettings tls { section.text("certificate"), section.text("private_key") };
    section.rejectUnknownKeys();
    return tls;
}

void readIdentity(SettingsSection& root, Settings& settings)
{
    settings.identity.instance = InstanceId(root.text("instance"));
    settings.identity.region = RegionId(root.text("region"));
    settings.identity.dataCentre = DataCentreId(root.text("data_centre"));
}

void readPeers(SettingsSection& root, Settings& settings)
{
    auto peers = root.section("peers");
    settings.peersListen = peers.endpoint("listen");
    // FIXME: Implement mutual TLS between instances. Until then the setting is rejected, so that no deployment
    // assumes that its peer connections are encrypted.
    if (peers.section("tls").isPresent())
        peers.fail("tls", "is not supported yet");
    peers.rejectUnknownKeys();
}

void readFleetBounds(SettingsSection& section, FleetSettings& fleet)
{
    auto retries = section.section("retries");
    fleet.retryRatio = retries.suppliedDecimal("ratio", fleet.retryRatio, 1);
    fleet.retryReserve = retries.suppliedNumber("reserve", fleet.retryReserve, maxRetryReserve);
    fleet.retryWindow = retries.suppliedPeriod("window", fleet.retryWindow);
    retries.rejectUnknownKeys();
    auto allowance = section.section("allowance");
    fleet.allowanceWindow = allowance.suppliedPeriod("window", fleet.allowanceWindow);
    fleet.allowanceTolerance = allowance.suppliedDecimal("tolerance", fleet.allowanceTolerance, 1);
    fleet.allowanceSlack = allowance.suppliedNumber("slack", fleet.allowanceSlack, maxAllowanceSlack);
    allowance.rejectUnknownKeys();
    auto shutdown = section.section("shutdown");
    fleet.backendDrainPeriod = shutdown.suppliedGrace("backend_drain", fleet.backendDrainPeriod);
    fleet.shutdownGracePeriod = shutdown.suppliedGrace("grace", fleet.shutdownGracePeriod);
    shutdown.rejectUnknownKeys();
}

void readFleet(SettingsSection section, Settings& settings)
{
    if (!section.isPresent())
        return;
    FleetSettings fleet;
    fleet.dialect = section.text("dialect");
    fleet.readinessListen = section.endpoint("readiness");
    auto directory = section.section("directory");
    fleet.directoryListen = directory.endpoint("listen");
    fleet.directoryLifetime = directory.duration("lifetime", fleet.directoryLifetime);
    directory.rejectUnknownKeys();
    auto metrics = section.section("metrics");
    if (metrics.isPresent())
        fleet.metricsListen = metrics.endpoint("listen");
    metrics.rejectUnknownKeys();
    for (auto& entry : section.sections("data_centres")) {
        fleet.dataCentres.emplace(DataCentreId(entry.text("name")), RegionId(entry.text("region")));
        entry.rejectUnknownKeys();
    }
    const auto own = fleet.dataCentres.find(settings.identity.dataCentre);
    if (own == fleet.dataCentres.end() || own->second != settings.identity.region)
        section.fail("data_centres", "must name this instance's data centre with its region");
    auto processor = section.section("processor");
    fleet.processorShare = processor.suppliedDecimal("share", 1, maxCores) * processor.suppliedDecimal("speed", 1, maxCores);
    processor.rejectUnknownKeys();
    auto process = section.section("process");
    const auto memory = process.suppliedNumber("memory_mb", 0, maxProcessMegabytes);
    if (memory > 0)
        fleet.processMemory = ByteCount(memory * bytesPerMegabyte);
    const auto descriptors = process.suppliedNumber("descriptors", 0, maxProcessDescriptors);
    if (descriptors > 0)
        fleet.processDescriptors = descriptors;
    process.rejectUnknownKeys();
    readFleetBounds(section, fleet);
    section.rejectUnknownKeys();
    settings.fleet = std::move(fleet);
}

void readListeners(SettingsSection& root, Settings& settings)
{
    auto callers = root.section("callers");
    settings.callersListen = callers.endpoint("listen");
    settings.callersTls = readTls(callers.section("tls"));
    callers.rejectUnknownKeys();

    auto operators = root.section("operators");
    // Operators of a fleet write to the store directly, so this listener is optional there.
    if (settings.fleet && !operators.isPresent()) {
        readPeers(root, settings);
        return;
    }
    settings.operatorsListen = operators.endpoint("listen");
    for (auto& credential : operators.sections("credentials")) {
        const auto digest = credential.text("digest");
        if (!isDigest(digest))
            credential.fail("digest", "must be a SHA-256 digest of 64 hexadecimal digits");
        settings.operatorCredentials.push_back({ credential.text("name"), KeyDigest(digest) });
        credential.rejectUnknownKeys();
    }
    operators.rejectUnknownKeys();

    readPeers(root, settings);
    if (isSameListener(settings.callersListen, settings.operatorsListen) || isSameListener(settings.callersListen, settings.peersListen))
        root.fail("callers", "listens where another listener does");
    if (isSameListener(settings.operatorsListen, settings.peersListen))
        root.fail("operators", "listens where another listener does");
}

void readPlatform(SettingsSection& root, Settings& settings)
{
    auto platform = root.section("platform");
    auto store = platform.section("store");
    settings.storeKind = store.text("kind", settings.storeKind);
    settings.storeEndpoints = store.endpoints("endpoints");
    settings.storePrefix = store.text("prefix", settings.storePrefix);
    if (settings.storePrefix.back() != '/')
        store.fail("prefix", "must end in /");
    store.rejectUnknownKeys();
    auto liveList = platform.section("live_list");
    if (settings.fleet && !liveList.isPresent()) {
        platform.rejectUnknownKeys();
        return;
    }
    settings.liveListEndpoint = liveList.endpoint("endpoint");
    settings.liveListPoll = liveList.duration("poll", settings.liveListPoll);
    liveList.rejectUnknownKeys();
    platform.rejectUnknownKeys();
}

void readLimits(SettingsSection& root, Settings& settings)
{
    auto limits = root.section("limits");
    settings.headLimit = limits.size("head", settings.headLimit, maxHeadSize);
    settings.bodyLimit = limits.size("body", settings.bodyLimit, maxBodySize);
    limits.rejectUnknownKeys();
    auto timeouts = root.section("timeouts");
    settings.requestTimeout = timeouts.duration("request", settings.requestTimeout);
    settings.idleTimeout = timeouts.duration("idle", settings.idleTimeout);
    settings.connectTimeout = timeouts.duration("connect", settings.connectTimeout);
    settings.drainTimeout = timeouts.duration("drain", settings.drainTimeout);
    if (settings.connectTimeout > settings.requestTimeout)
        timeouts.fail("connect", "must not exceed timeouts.request");
    timeouts.rejectUnknownKeys();
    settings.workers = root.number("workers", settings.workers, 1, maxWorkers);
}

void readObservability(SettingsSection& root, Settings& settings)
{
    auto log = root.section("log");
    const auto level = logLevelFromName(log.text("level", "info"));
    if (!level)
        log.fail("level", "must be debug, info, warning or error");
    settings.logLevel = *level;
    log.rejectUnknownKeys();
    auto traces = root.section("traces");
    settings.traceCollector = traces.text("collector", settings.traceCollector);
    const auto isKeyword = settings.traceCollector == "none" || settings.traceCollector == "stderr";
    if (!isKeyword && !parseEndpoint(settings.traceCollector))
        traces.fail("collector", "must be none, stderr, or an IP address and a port");
    traces.rejectUnknownKeys();
}

} // namespace

std::string Endpoint::toString() const
{
    const auto isVersion6 = address.find(':') != std::string::npos;
    return isVersion6 ? fmt::format("[{}]:{}", address, port) : fmt::format("{}:{}", address, port);
}

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    Endpoint endpoint { address, 0 };
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, endpoint.port);
    if (error != std::errc {} || end != last || !isIpAddress(address))
        return std::nullopt;
    return endpoint;
}

Settings loadSettings(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        throw SettingsError(fmt::format("{}:1: the file cannot be read", path));
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

Settings parseSettings(const std::string& text, const std::string& fileName)
{
    YAML::Node document;
    try {
        document = YAML::Load(text);
    } catch (const YAML::Exception& exception) {
        const auto line = exception.mark.is_null() ? 1 : exception.mark.line + 1;
        throw SettingsError(fmt::format("{}:{}: {}", fileName, line, exception.msg));
    }
    if (!document.IsMap())
        throw SettingsError(fmt::format("{}:1: the file must be a mapping", fileName));
    SettingsSection root(fileName, "", document, document.Mark());
    Settings settings;
    readIdentity(root, settings);
    readFleet(root.section("fleet"), settings);
    readListeners(root, settings);
    readPlatform(root, settings);
    readLimits(root, settings);
    settings.routingStrategy = root.text("routing", settings.routingStrategy);
    readObservability(root, settings);
    root.rejectUnknownKeys();
    settings.adjustments = root.adjustments();
    return settings;
}

} // namespace Ibisturn
