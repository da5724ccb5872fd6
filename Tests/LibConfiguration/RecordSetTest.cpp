#include <LibConfiguration/RecordSet.h>

#include <gtest/gtest.h>

namespace Ibisturn {

TEST(RecordSet, UnrelatedWritesDoNotChangeTheConfiguration)
{
    RecordSet set("/ibisturn/");
    set.reset(Revision(40));
    set.apply("/ibisturn/records/workspaces/guides", R"({"schema":1})", Revision(9));
    EXPECT_EQ(set.compile()->revision(), Revision(40));
    EXPECT_EQ(set.compile()->lastChange(), Revision(9));
    set.apply("/ibisturn/claims/a/b", "x", Revision(41));
    EXPECT_EQ(set.compile()->lastChange(), Revision(9));
    set.apply("/ibisturn/records/workspaces/guides", std::nullopt, Revision(42));
    EXPECT_EQ(set.compile()->lastChange(), Revision(42));
}

} // namespace Ibisturn
