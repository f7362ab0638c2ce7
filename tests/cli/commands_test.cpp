// Tests of the subcommands `config check` and `dns browse`.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "src/cli/browse_command.hpp"
#include "src/cli/check_config_command.hpp"
#include "standins/dns_responder.hpp"

namespace tulipyoke {
namespace {

TEST(Cli, AcceptsTheExampleConfiguration) {
  std::ostringstream out;
  EXPECT_EQ(cli::CheckConfig(PROJECT_ROOT "/deploy/dns-sd.json", out), 0) << out.str();
  EXPECT_NE(out.str().find("4 sources of servers"), std::string::npos);
  EXPECT_EQ(cli::CheckConfig("/no/such/file", out), 1);
  EXPECT_NE(out.str().find("cannot read /no/such/file"), std::string::npos);
}

TEST(Cli, BrowsesAZone) {
  standins::Loop loop;
  standins::DnsResponder responder(loop, "derby.example.org");
  responder.Publish({{"good", "127.0.0.1", 7001, {"group=2"}, 10, ""}, {"bad", "127.0.0.1", 0, {}, 10, ""}});
  cli::BrowseOptions options;
  options.zone = "derby.example.org";
  options.resolvers = {responder.address()};
  options.once = true;
  options.seconds = 20;
  std::ostringstream out;
  EXPECT_EQ(cli::BrowseDns(options, out), 0) << out.str();
  EXPECT_NE(out.str().find("good._readings._tcp.derby.example.org. at 127.0.0.1:7001 in service"),
            std::string::npos)
      << out.str();
  EXPECT_NE(out.str().find("SRV names port 0"), std::string::npos) << out.str();
  options.resolvers = {"127.0.0.1:1"};
  options.seconds = 0.3;
  EXPECT_EQ(cli::BrowseDns(options, out), 2);
  loop.Stop();
}

}  // namespace
}  // namespace tulipyoke
