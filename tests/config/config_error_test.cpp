// Tests that errors carry the path and the fault as typed values.
#include "src/config/config_error.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "src/config/config.hpp"
#include "src/config/settings.hpp"

namespace tulipyoke {
namespace {

TEST(ConfigError, CarriesThePathAndTheFault) {
  try {
    ParseConfig(R"({"settings":{"services":[{"name":"a"}]},"log":{"form":"xml"}})");
    FAIL() << "no error";
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.path(), "log.form");
    ASSERT_TRUE(std::holds_alternative<config_fault::UnknownChoice>(error.fault()));
    EXPECT_EQ(std::get<config_fault::UnknownChoice>(error.fault()).raw_value, "xml");
    EXPECT_EQ(error.what(), ToText(error.path(), error.fault()));
  }
}

TEST(ConfigError, AnErrorWithoutAPathNamesTheConfiguration) {
  EXPECT_EQ(ToText("", config_fault::WrongType{"an object"}), "the configuration: must be an object");
}

TEST(SettingsError, CarriesThePathTheFaultAndTheValue) {
  try {
    SettingsFromTable({{"stats.via", "post"}});
    FAIL() << "no error";
  } catch (const SettingsError& error) {
    EXPECT_EQ(error.path(), "stats.via");
    EXPECT_EQ(error.fault(), SettingsFault::kUnknownValue);
    EXPECT_EQ(error.value(), "post");
  }
}

}  // namespace
}  // namespace tulipyoke
