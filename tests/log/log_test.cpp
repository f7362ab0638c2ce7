// Tests of log lines in the text and JSON formats.
#include "src/log/log.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tulipyoke {
namespace {

TEST(Log, WritesOneLinePerEventAsTextOrJson) {
  const std::vector<LogField> fields = {{"why", "a \"quote\"\nand \xff"}, {"servers", std::int64_t{3}}};
  EXPECT_EQ(FormatLogLine(LogFormat::kText, LogLevel::kInfo, "serving", "n0 serves", fields, 5),
            "tulipyoke: n0 serves");
  const std::string line =
      FormatLogLine(LogFormat::kJson, LogLevel::kWarning, "serving", "n0 serves", fields, 5);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const auto json = nlohmann::json::parse(line);
  EXPECT_EQ(json.at("event"), "serving");
  EXPECT_EQ(json.at("level"), "warning");
  EXPECT_EQ(json.at("time_ms"), 5);
  EXPECT_EQ(json.at("servers"), 3);
}

}  // namespace
}  // namespace tulipyoke
