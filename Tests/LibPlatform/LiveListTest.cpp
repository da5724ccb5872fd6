#include <LibPlatform/LiveListClient.h>

#include <LibCore/Error.h>
#include <Tests/Support/Cases.h>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;

const std::string validList = R"({"instances":[{"id":"k1","region":"khomas","data_centre":"a","callers":"127.0.0.1:80","peers":"[::1]:81"},)"
                              R"({"id":"e1","region":"erongo","data_centre":"b","callers":"127.0.0.1:82","peers":"127.0.0.1:83","state":"leaving"}],)"
                              R"("backend_servers":[{"id":"engine","state":"leaving"},{"id":"other"}]})";

/// Whether the list is accepted. Any exception except an Error with MalformedBody fails the test.
bool isRead(const std::string& json)
{
    try {
        parseLiveList(json);
        return true;
    } catch (const Error& error) {
        EXPECT_EQ(error.code(), ResultCode::MalformedBody);
        return false;
    }
}

} // namespace

TEST(LiveList, ValidListIsRead)
{
    const auto view = parseLiveList(validList);
    EXPECT_EQ(view.instances.size(), 2);
    EXPECT_EQ(view.leavingBackendServers, std::set { BackendServerId("engine") });
}

TEST(LiveList, ListsOfAnotherTypeAreRefusedRatherThanTakenAsEmpty)
{
    for (const auto* json : { "", "[]", "{}", R"({"instances":null,"backend_servers":[]})", R"({"instances":[],"backend_servers":null})",
             R"({"instances":{},"backend_servers":[]})", R"({"instances":["k1"],"backend_servers":[]})", R"({"instances":[],"backend_servers":[5]})",
             R"({"instances":[{"id":"","region":"a","data_centre":"b","callers":"127.0.0.1:1","peers":"127.0.0.1:2"}],"backend_servers":[]})" })
        EXPECT_FALSE(isRead(json)) << json;
}

TEST(LiveList, MutatedListsAreReadOrRefused)
{
    const std::vector<std::string> tokens { "null", "1e999", "[", "{", "\"\"", "\\u0000", "\xff", std::string(2000, '[') };
    forEachCase([&tokens](Random& random) { isRead(Testing::mutate(random, validList, tokens)); });
}

} // namespace Ibisturn
