// Tests that an invalid membership configuration is reported with the path of the fault.
#include "src/config/membership_config.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "src/config/config_error.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

Json MakeDnsSdMembership(const Json& overrides) {
  Json source{{"type", "dns-sd"}, {"zone", "derby.example.org"}, {"resolvers", {"127.0.0.1:53"}}};
  source.update(overrides);
  return {{"sources", {source}}};
}

std::string ErrorText(const Json& json) {
  try {
    ParseMembershipConfig(json, "membership", Settings());
    return "";
  } catch (const ConfigError& error) {
    return error.what();
  }
}

TEST(MembershipConfig, ReportsThePathAndTheReasonOfAnError) {
  EXPECT_EQ(ErrorText(MakeDnsSdMembership(Json::object())), "");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"resolvers", {"127.0.0.1:53", "here"}}})),
            "membership.sources[0].resolvers[1]: not a valid address with port: 'here'");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"look_ms", 5}})),
            "membership.sources[0].look_ms: must be a number from 20.0 to 3600000.0");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"mode", "push"}})),
            "membership.sources[0].mode: is 'push', but must be one of poll, serial, transfer");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"allow", {"10.0.0.0"}}})),
            "membership.sources[0].allow[0]: not an address block such as 10.0.0.0/8: '10.0.0.0'");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"zone", "a..b"}})),
            "membership.sources[0].zone: is not a valid DNS name");
  EXPECT_EQ(ErrorText(MakeDnsSdMembership({{"interval", 5}})),
            "membership.sources[0].interval: is not a known setting");
  EXPECT_EQ(ErrorText({{"sources", Json::array()}}), "membership.sources: must contain 1 to 32 sources");
  EXPECT_EQ(ErrorText({{"sources", {{{"type", "registry"}}, {{"type", "registry"}, {"name", "b"}}}}}),
            "membership.sources[1].type: only one registry source is allowed");
}

}  // namespace
}  // namespace tulipyoke
