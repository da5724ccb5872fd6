#pragma once

#include <LibConfiguration/RecordSet.h>
#include <LibCore/Digest.h>

#include <memory>
#include <string>
#include <vector>

namespace Ibisturn::Testing {

constexpr const char* callerKey = "loopback-caller-key";

constexpr const char* storePrefix = "/ibisturn/";

/// A record as it is stored.
struct RecordText {
    RecordName name;
    std::string json;
};

/// Records of one workspace that has the key callerKey and permits both regions; `engine` serves the model "here" in
/// `engineRegion`.
inline std::vector<RecordText> recordsFor(const Endpoint& engine, const std::string& engineRegion)
{
    const auto server = fmt::format(R"({{"schema":1,"endpoint":"{}","region":"{}","data_centre":"{}","routes":["chat"]}})", engine.toString(), engineRegion, engineRegion);
    return {
        { { "residency", "home" }, R"({"schema":1,"regions":["khomas","erongo"]})" },
        { { "workspaces", "guides" }, R"({"schema":1,"residency":"home","rate":1e9,"burst":1000000000})" },
        { { "keys", digestOfKey(callerKey).value() }, R"({"schema":1,"workspace":"guides"})" },
        { { "routes", "chat" }, R"({"schema":1,"path":"/v1/chat/completions","model":"here"})" },
        { { "backend_servers", "engine" }, server },
    };
}

/// The set of `records`, all at revision 1.
inline RecordSet recordSetOf(const std::vector<RecordText>& records)
{
    RecordSet set(storePrefix);
    for (const auto& record : records)
        set.apply(recordKey(storePrefix, record.name), record.json, Revision(1));
    return set;
}

/// The snapshot compiled from `records`.
inline SnapshotPointer snapshotOf(const std::vector<RecordText>& records)
{
    return recordSetOf(records).compile();
}

} // namespace Ibisturn::Testing
