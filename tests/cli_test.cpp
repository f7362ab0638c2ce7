// Sub-commands, checked settings and log lines.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/cli/commands.hpp"
#include "src/config/config_error.hpp"
#include "src/config/membership_config.hpp"
#include "src/log/log.hpp"
#include "standins/dns_responder.hpp"

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

TEST(MembershipConfig, WhatIsWrongIsNamedByItsPathAndReason) {
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

TEST(Cli, TheExampleUnderDeployIsOneThatTheProgramCouldStartWith) {
  std::ostringstream out;
  EXPECT_EQ(cli::CheckConfig(PROJECT_ROOT "/deploy/dns-sd.json", out), 0) << out.str();
  EXPECT_NE(out.str().find("4 sources of servers"), std::string::npos);
  EXPECT_EQ(cli::CheckConfig("/no/such/file", out), 1);
  EXPECT_NE(out.str().find("cannot read /no/such/file"), std::string::npos);
}

TEST(Cli, ShowsAZoneAsTheRouterSeesIt) {
  standins::Loop loop;
  standins::DnsResponder responder(loop, "derby.example.org");
  responder.Publish({{"good", "127.0.0.1", 7001, {"group=2"}, 10, ""}, {"bad", "127.0.0.1", 0, {}, 10, ""}});
  cli::Browse browse;
  browse.zone = "derby.example.org";
  browse.resolvers = {responder.address()};
  browse.once = true;
  browse.seconds = 20;
  std::ostringstream out;
  EXPECT_EQ(cli::BrowseDns(browse, out), 0) << out.str();
  EXPECT_NE(out.str().find("good._readings._tcp.derby.example.org. at 127.0.0.1:7001 in service"),
            std::string::npos)
      << out.str();
  EXPECT_NE(out.str().find("SRV names port 0"), std::string::npos) << out.str();
  browse.resolvers = {"127.0.0.1:1"};
  browse.seconds = 0.3;
  EXPECT_EQ(cli::BrowseDns(browse, out), 2);
  loop.Stop();
}

TEST(Log, OneLineAnEventAsTextOrJson) {
  const std::vector<LogField> fields = {{"why", "a \"quote\"\nand \xff"}, {"servers", std::int64_t{3}}};
  EXPECT_EQ(LogLineFor(LogForm::kText, LogLevel::kInfo, "serving", "n0 serves", fields, 5),
            "tulipyoke: n0 serves");
  const std::string line = LogLineFor(LogForm::kJson, LogLevel::kWarning, "serving", "n0 serves", fields, 5);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const Json json = Json::parse(line);
  EXPECT_EQ(json.at("event"), "serving");
  EXPECT_EQ(json.at("level"), "warning");
  EXPECT_EQ(json.at("time_ms"), 5);
  EXPECT_EQ(json.at("servers"), 3);
}

}  // namespace
}  // namespace tulipyoke
