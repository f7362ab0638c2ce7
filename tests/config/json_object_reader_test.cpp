// Tests the typed and checked access to JSON values. The error texts are tested in error_text_test.cpp.
#include "src/config/json_object_reader.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

TEST(JsonObjectReader, ReadsValuesAndDefaults) {
  const Json json = Json::parse(R"({"name":"a","number":1.5,"count":7,"wait_ms":2.5,"list":["x","y"]})");
  JsonObjectReader reader(json, "here");
  EXPECT_EQ(reader.GetString("name", "b"), "a");
  EXPECT_EQ(reader.GetNumber("number", 0, 0, 2), 1.5);
  EXPECT_EQ(reader.GetCount("count", 0, 1, 10), 7u);
  EXPECT_EQ(reader.GetDuration("wait_ms", 0, 0, 10), 2500);
  EXPECT_EQ(reader.GetStrings("list"), (std::vector<std::string>{"x", "y"}));
  reader.RejectUnknownKeys();
  EXPECT_EQ(reader.GetString("absent", "b"), "b");
  EXPECT_EQ(reader.GetNumber("absent", 99, 0, 2), 99) << "a default is not checked";
  EXPECT_TRUE(reader.GetStrings("absent").empty());
}

TEST(JsonObjectReader, AChoiceIsEmptyOnlyIfTheKeyIsMissing) {
  const Json json = {{"mode", "fast"}};
  JsonObjectReader reader(json, "");
  EXPECT_EQ(reader.GetChoice<int>("mode", {{"slow", 1}, {"fast", 2}}), 2);
  EXPECT_EQ(reader.GetChoice<int>("absent", {{"slow", 1}, {"fast", 2}}), std::nullopt);
  EXPECT_THROW(reader.GetChoice<int>("mode", {{"slow", 1}}), ConfigError);
}

TEST(JsonObjectReader, AKeyThatIsNotReadIsRejected) {
  const Json json = {{"known", 1}, {"unknown", 2}};
  JsonObjectReader reader(json, "");
  reader.GetNumber("known", 0, 0, 2);
  EXPECT_THROW(reader.RejectUnknownKeys(), ConfigError);
}

}  // namespace
}  // namespace tulipyoke
