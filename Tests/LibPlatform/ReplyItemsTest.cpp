#include <LibPlatform/ReplyItems.h>

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Ibisturn::Testing {

TEST(ReplyItems, SeparatesTheListFromTheRest)
{
    const auto reply = parseItemizedReply(R"({"items":[{"Key":"a"},7,null],"MorePages":true})", "items");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->items.size(), 3U);
    EXPECT_EQ(reply->items.at(0).at("Key"), "a");
    EXPECT_EQ(reply->object, nlohmann::json({ { "MorePages", true } }));
}

// Each of these items makes a parser refuse the whole text.
TEST(ReplyItems, AnItemThatIsNotJsonCostsItselfAlone)
{
    const auto odd = std::to_array<std::string>({ "{\"Key\":\"a\xff\"}", "{\"Key\":\"\\udcff\"}", "{\"Key\":\"a\nb\"}", "{\"Revision\":1e999}", "{\"Key\":\"\\q\"}", "nul", "{]", "{\"a\\\"]\xc3\":1}" });
    for (const auto& item : odd) {
        const auto reply = parseItemizedReply(R"({"CurrentRev": 9, "events": [ {"Key":"a,]}\"["}, )" + item + R"(, {"Key":"b","Tags":["x",{"y":[1,2]}]} ], "MorePages": false})", "events");
        ASSERT_TRUE(reply) << item;
        ASSERT_EQ(reply->items.size(), 3U) << item;
        EXPECT_EQ(reply->items.at(0).at("Key"), "a,]}\"[");
        EXPECT_TRUE(reply->items.at(1).is_null()) << item;
        EXPECT_EQ(reply->items.at(2).at("Key"), "b");
        EXPECT_EQ(reply->object, nlohmann::json({ { "CurrentRev", 9 }, { "MorePages", false } }));
    }
}

TEST(ReplyItems, AListOfAnotherFieldIsNotTaken)
{
    EXPECT_FALSE(parseItemizedReply(R"({"other":["items",{"items":[1]}]})", "items"));
    EXPECT_FALSE(parseItemizedReply("{\"other\":[\"items\",{\"items\":[1]},\"\xff\"]}", "items"));
    const auto reply = parseItemizedReply("{\"name\":\"items\",\"items\":[\"\xff\",[]]}", "items");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->items.size(), 2U);
    EXPECT_EQ(reply->object.at("name"), "items");
}

TEST(ReplyItems, ATextWithoutAListIsNoReply)
{
    for (const auto* text : { "", "[]", "7", "{}", R"({"items":7})", R"({"items":[)", R"({"items":["a)", "{\"items\":[\"\xff\"]", "\xff", "]}" })
        EXPECT_FALSE(parseItemizedReply(text, "items")) << text;
}

RC_GTEST_PROP(ReplyItems, NoTextIsMistaken, (std::string text))
{
    // Most of it is close to a reply.
    constexpr std::string_view alphabet = "{}[]\",:\\ items\xff";
    for (auto& character : text)
        character = alphabet[static_cast<unsigned char>(character) % alphabet.size()];
    const auto reply = parseItemizedReply("{\"items\":[" + text, "items");
    RC_ASSERT(!reply || reply->object.is_object());
}

} // namespace Ibisturn::Testing
