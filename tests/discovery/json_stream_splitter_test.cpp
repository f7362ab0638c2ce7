// Tests the splitting of a character stream into JSON values.
#include "src/discovery/json_stream_splitter.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace tulipyoke::discovery {
namespace {

std::vector<std::string> Split(std::string_view stream) {
  JsonStreamSplitter splitter;
  std::vector<std::string> values;
  for (const char character : stream) splitter.Feed(character, values);
  return values;
}

using Values = std::vector<std::string>;

TEST(JsonStreamSplitter, AcceptsMultilineValuesAndBracketsInStrings) {
  EXPECT_EQ(Split("{\"a\":\n[1]}[2]"), (Values{"{\"a\":\n[1]}", "[2]"}));
  EXPECT_EQ(Split("{\"a\":\"}\\\"]\"}\n"), (Values{"{\"a\":\"}\\\"]\"}"}));
}

TEST(JsonStreamSplitter, ReportsBlankLinesOutsideValuesAsEmptyValues) {
  EXPECT_EQ(Split("\n{}\n \n"), (Values{"", "{}", ""}));
  EXPECT_EQ(Split("{\n\n}\n"), (Values{"{\n\n}"}));
}

TEST(JsonStreamSplitter, EndsNonJsonTextAndTruncatedStringsAtTheEndOfTheLine) {
  EXPECT_EQ(Split("oops {\n{\"cut\n{}"), (Values{"oops {", "{\"cut", "{}"}));
}

}  // namespace
}  // namespace tulipyoke::discovery
