#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/Digest.h>

#include <memory>
#include <string>
#include <vector>

namespace Ibisturn::Testing {

constexpr const char* callerKey = "loopback-caller-key";

/// A record as the store would hold it.
inline Record makeRecord(const std::string& kind, const std::string& name, const std::string& json)
{
    return parseRecord(kind, name, json, Revision(1));
}

/// One workspace with callerKey that permits both regions; `engine` serves model "here" in `engineRegion`.
inline std::vector<Record> recordsFor(const Endpoint& engine, const std::string& engineRegion)
{
    const auto server = fmt::format(R"({{"schema":1,"endpoint":"{}","region":"{}","data_centre":"{}","routes":["chat"]}})", engine.toString(), engineRegion, engineRegion);
    return {
        makeRecord("residency", "home", R"({"schema":1,"regions":["khomas","erongo"]})"),
        makeRecord("workspaces", "guides", R"({"schema":1,"residency":"home","rate":1e9,"burst":1000000000})"),
        makeRecord("keys", digestOfKey(callerKey).value(), R"({"schema":1,"workspace":"guides"})"),
        makeRecord("routes", "chat", R"({"schema":1,"path":"/v1/chat/completions","model":"here"})"),
        makeRecord("backend_servers", "engine", server),
    };
}

/// All of them at revision 1.
inline SnapshotPointer snapshotOf(const std::vector<Record>& records)
{
    return std::make_shared<const Snapshot>(Revision(1), records);
}

} // namespace Ibisturn::Testing
