// The configuration of DNS-SD sources: what is wrong is named by its path.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "src/config/config_error.hpp"
#include "src/config/membership_config.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

Json Sources(const Json& more) {
  Json source{{"type", "dns-sd"}, {"zone", "derby.example.org"}, {"resolvers", {"127.0.0.1:53"}}};
  source.update(more);
  return {{"sources", {source}}};
}

std::string WhatIsWrong(const Json& json) {
  try {
    ParseMembershipConfig(json, "membership", Settings());
    return "";
  } catch (const ConfigError& error) {
    return error.what();
  }
}

TEST(MembershipConfig, ReportsThePathAndReasonOfErrors) {
  EXPECT_EQ(WhatIsWrong(Sources(Json::object())), "");
  EXPECT_EQ(WhatIsWrong(Sources({{"resolvers", {"127.0.0.1:53", "here"}}})),
            "membership.sources[0].resolvers[1]: not an address and port: 'here'");
  EXPECT_EQ(WhatIsWrong(Sources({{"look_ms", 5}})),
            "membership.sources[0].look_ms: must be a number from 20.0 to 3600000.0");
  EXPECT_EQ(WhatIsWrong(Sources({{"mode", "push"}})),
            "membership.sources[0].mode: is 'push', but must be one of poll, serial, transfer");
  EXPECT_EQ(WhatIsWrong(Sources({{"allow", {"10.0.0.0"}}})),
            "membership.sources[0].allow[0]: no block of addresses such as 10.0.0.0/8: '10.0.0.0'");
  EXPECT_EQ(WhatIsWrong(Sources({{"zone", "a..b"}})), "membership.sources[0].zone: is no DNS name");
  EXPECT_EQ(WhatIsWrong(Sources({{"interval", 5}})),
            "membership.sources[0].interval: is no setting that is known here");
  EXPECT_EQ(WhatIsWrong({{"sources", Json::array()}}), "membership.sources: must name 1 to 32 sources");
  EXPECT_EQ(WhatIsWrong({{"sources", {{{"type", "registry"}}, {{"type", "registry"}, {"name", "b"}}}}}),
            "membership.sources[1].type: is a second registry");
}

}  // namespace
}  // namespace tulipyoke
