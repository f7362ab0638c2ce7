// The whole router with servers that it knows by DNS-SD records alone, on loopback.
#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "checks/rules.hpp"
#include "src/config/directory_config.hpp"
#include "standins/dns_responder.hpp"
#include "standins/pg_client.hpp"
#include "standins/pg_server.hpp"
#include "tests/running.hpp"

namespace tulipyoke::net {
namespace {

using namespace std::chrono_literals;
using checks::End;

constexpr const char* kZone = "derby.example.org";

checks::RuleOptions Rules() {
  checks::RuleOptions rules;
  rules.classes["any"] = {};
  return rules;
}

class DirectoryTest : public testing::Test {
 protected:
  // Servers and the loop they live in go last.
  ~DirectoryTest() override { loop_.Stop(); }

  Running::Adjust FromRecords(const std::string& mode, nlohmann::json more = nlohmann::json::object()) {
    nlohmann::json source{{"type", "dns-sd"}, {"zone", kZone},          {"mode", mode},
                          {"look_ms", 50},    {"retry_ms", 50},         {"resolvers", {responder_.address()}},
                          {"site", "derby"},  {"least_refresh_ms", 100}};
    source.update(more);
    return [source](Config& config) {
      Settings& rules = config.settings;
      rules.classes[0].aim = 300'000;
      rules.classes[0].deadline = 2'000'000;
      rules.cold_from = 0.15;
      rules.warm_after = 18'000'000;
      rules.fall_multiple = 3;
      rules.fall = 3'000'000;
      rules.drain_grace = 2'000'000;
      config.directory = DirectoryFrom({{"sources", {source}}}, "membership", config.settings);
      config.known = Listing();
    };
  }
  standins::PgServer& AddServer(const std::string& name) {
    servers_.push_back(std::make_unique<standins::PgServer>(loop_, history_, name, "from " + name));
    return *servers_.back();
  }
  static standins::Published RecordsOf(const standins::PgServer& server) {
    return {server.name(), "127.0.0.1", server.port(), {"txtvers=1", "group=0"}, 10, ""};
  }
  // Until a statement is served; the router has learnt of a server by then.
  std::string FirstValue(standins::PgClient& client) {
    for (int i = 0; i < 200; ++i) {
      const standins::Outcome outcome = client.Ask("any", false, 500);
      if (outcome.end == End::kServed) return outcome.value;
      std::this_thread::sleep_for(20ms);
    }
    return "never served";
  }

  standins::Loop loop_;
  checks::History history_;
  standins::DnsResponder responder_{loop_, kZone};
  std::vector<std::unique_ptr<standins::PgServer>> servers_;
};

TEST_F(DirectoryTest, ServesFromServersKnownByRecordsAlone) {
  for (const char* mode : {"poll", "serial", "transfer"}) {
    standins::PgServer& server = AddServer(std::string("s-") + mode);
    responder_.Publish({RecordsOf(server)});
    Running node({}, 256, 1, FromRecords(mode));
    standins::PgClient client(node.port(), history_, mode, mode);
    EXPECT_EQ(FirstValue(client), "from " + server.name()) << node.Call("GET", "/control/servers");
    responder_.Withdraw({server.name()});
  }
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

}  // namespace
}  // namespace tulipyoke::net
