// Tests a complete router on loopback that learns its servers only from DNS-SD records.
#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "checks/rules.hpp"
#include "src/config/membership_config.hpp"
#include "standins/dns_responder.hpp"
#include "standins/pg_client.hpp"
#include "standins/pg_server.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

using namespace std::chrono_literals;
using checks::End;

constexpr const char* kZone = "derby.example.org";

checks::RuleOptions CheckOptions() {
  checks::RuleOptions rules;
  rules.classes["any"] = {};
  return rules;
}

class DnsSdDiscoveryTest : public testing::Test {
 protected:
  // Stops the loop before the servers are destroyed.
  ~DnsSdDiscoveryTest() override { loop_.Stop(); }

  RunningServer::Adjust DnsSdConfig(const std::string& mode, nlohmann::json more = nlohmann::json::object()) {
    nlohmann::json source{{"type", "dns-sd"}, {"zone", kZone},          {"mode", mode},
                          {"look_ms", 50},    {"retry_ms", 50},         {"resolvers", {responder_.address()}},
                          {"site", "derby"},  {"least_refresh_ms", 100}};
    source.update(more);
    return [source](Config& config) {
      Settings& rules = config.settings;
      rules.classes[0].latency_objective = 300'000;
      rules.classes[0].deadline = 2'000'000;
      rules.slow_start_fraction = 0.15;
      rules.slow_start_window = 18'000'000;
      rules.overload_multiple = 3;
      rules.overload_window = 3'000'000;
      rules.drain_timeout = 2'000'000;
      config.membership = ParseMembershipConfig({{"sources", {source}}}, "membership", config.settings);
      config.cached_listing = EndpointList();
    };
  }
  standins::PgServer& AddServer(const std::string& name) {
    servers_.push_back(std::make_unique<standins::PgServer>(loop_, history_, name, "from " + name));
    return *servers_.back();
  }
  static standins::Published RecordsFor(const standins::PgServer& server) {
    return {server.name(), "127.0.0.1", server.port(), {"txtvers=1", "group=0"}, 10, ""};
  }
  // Repeats a statement until it is served, which shows that the router knows a server.
  std::string WaitForFirstValue(standins::PgClient& client) {
    for (int i = 0; i < 200; ++i) {
      const standins::Outcome outcome = client.Ask("any", false, 500);
      if (outcome.end == End::kServed) return outcome.value;
      std::this_thread::sleep_for(20ms);
    }
    return "no statement was served";
  }

  standins::Loop loop_;
  checks::History history_;
  standins::DnsResponder responder_{loop_, kZone};
  std::vector<std::unique_ptr<standins::PgServer>> servers_;
};

TEST_F(DnsSdDiscoveryTest, ServesStatementsFromServersKnownOnlyFromDnsRecords) {
  for (const char* mode : {"poll", "serial", "transfer"}) {
    standins::PgServer& server = AddServer(std::string("s-") + mode);
    responder_.Publish({RecordsFor(server)});
    RunningServer node({}, 256, 1, DnsSdConfig(mode));
    standins::PgClient client(node.port(), history_, mode, mode);
    EXPECT_EQ(WaitForFirstValue(client), "from " + server.name()) << node.Call("GET", "/control/servers");
    responder_.Withdraw({server.name()});
  }
  EXPECT_EQ(ToText(checks::Check(history_.Events(), CheckOptions())), "");
}

// The drain timeout of 2 s starts with the DNS response that omits the record. Running statements are
// completed.
TEST_F(DnsSdDiscoveryTest, WithdrawnRecordsDrainTheServerWithoutLosingRequests) {
  standins::PgServer& withdrawn = AddServer("going");
  standins::PgServer& remaining = AddServer("staying");
  for (standins::PgServer* server : {&withdrawn, &remaining}) server->Behave({.service = 60'000});
  responder_.Publish({RecordsFor(withdrawn), RecordsFor(remaining)});
  RunningServer node({}, 256, 1, DnsSdConfig("serial"));
  standins::PgClient first(node.port(), history_, "n1", "first");
  WaitForFirstValue(first);
  standins::PgCrowd crowd(node.port(), history_, "n1", 6, "any");
  for (int i = 0; withdrawn.statements() < 5 && i < 500; ++i) std::this_thread::sleep_for(10ms);
  ASSERT_GE(withdrawn.statements(), 5u);
  // The router cannot learn of the drain before this time, so counting from here only makes the rule
  // stricter.
  history_.Add(standins::Loop::Now(), checks::Told{"n1", withdrawn.name(), checks::Heard::kDraining});
  responder_.Withdraw({withdrawn.name()});
  std::this_thread::sleep_for(600ms);
  const std::size_t statements_after_withdrawal = withdrawn.statements();
  const std::size_t connections_after_withdrawal = withdrawn.accepted();
  std::this_thread::sleep_for(2200ms);
  EXPECT_EQ(withdrawn.statements(), statements_after_withdrawal)
      << "statements reached the withdrawn server although 2 s are the limit and 600 ms had passed";
  EXPECT_EQ(withdrawn.accepted(), connections_after_withdrawal);
  crowd.Stop();
  EXPECT_GT(crowd.served(), 50);
  EXPECT_EQ(crowd.unserved(), 0);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), CheckOptions())), "");
}

// Three routers learn of 200 servers that are warming up from one DNS response. None of the servers may be
// overloaded, the warm server keeps serving, and the rate of new connections is limited.
TEST_F(DnsSdDiscoveryTest, ThreeRoutersAdmitManyColdServersGradually) {
  standins::PgServer& warm = AddServer("warm");
  responder_.Publish({RecordsFor(warm)});
  const auto adjust = DnsSdConfig("transfer");
  const auto adjust_for_three_routers = [&](Config& config) {
    adjust(config);
    config.settings.classes[0].latency_objective = 1'000'000;  // prevents rejections on a busy machine
    config.settings.router_count = 3;
    config.settings.health_checks_allowed = true;
    config.settings.load_report_source = LoadReportSource::kHealthChecks;
    config.settings.report_fields = {"x0", "x1", "util"};
  };
  std::vector<std::unique_ptr<RunningServer>> nodes;
  std::vector<std::unique_ptr<standins::PgCrowd>> crowds;
  for (int i = 0; i < 3; ++i) {
    nodes.push_back(
        std::make_unique<RunningServer>(std::vector<std::uint16_t>(), 256, 1, adjust_for_three_routers));
    const std::string name = "n" + std::to_string(i);
    standins::PgClient first(nodes.back()->port(), history_, name, name + "-first");
    ASSERT_EQ(WaitForFirstValue(first), "from warm");
    crowds.push_back(std::make_unique<standins::PgCrowd>(nodes.back()->port(), history_, name, 4, "any"));
  }
  std::vector<standins::Published> cold_records;
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  for (int i = 0; i < 200; ++i) {
    standins::PgServer& cold = AddServer("cold-" + std::to_string(i));
    cold.Start(1);
    cold_records.push_back(RecordsFor(cold));
    cold_records.back().text.push_back("started=" + std::to_string(unix_ms));
  }
  responder_.Publish(cold_records);
  std::this_thread::sleep_for(1500ms);
  std::size_t contacted_servers = 0;
  for (std::size_t i = 1; i < servers_.size(); ++i) contacted_servers += servers_[i]->accepted() > 0 ? 1 : 0;
  EXPECT_GT(contacted_servers, 0u) << "no cold server was admitted";
  EXPECT_LE(contacted_servers, 40u) << "too many cold servers were admitted at once";
  std::this_thread::sleep_for(1500ms);
  for (const auto& crowd : crowds) {
    crowd->Stop();
    EXPECT_GT(crowd->served(), 50);
    EXPECT_LE(crowd->unserved(), crowd->served() / 50);
  }
  EXPECT_GT(warm.statements(), 100u);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), CheckOptions())), "");
}

TEST_F(DnsSdDiscoveryTest, FlappingRecordsLoseNoRequestsAndLimitConnections) {
  standins::PgServer& steady = AddServer("steady");
  standins::PgServer& flapping = AddServer("flaps");
  responder_.Publish({RecordsFor(steady), RecordsFor(flapping)});
  RunningServer node({}, 256, 1, DnsSdConfig("serial"));
  standins::PgClient first(node.port(), history_, "n1", "first");
  WaitForFirstValue(first);
  standins::PgCrowd crowd(node.port(), history_, "n1", 4, "any");
  for (int i = 0; i < 12; ++i) {
    responder_.Withdraw({"flaps"});
    std::this_thread::sleep_for(150ms);
    responder_.Publish({RecordsFor(flapping)});
    std::this_thread::sleep_for(150ms);
  }
  crowd.Stop();
  EXPECT_GT(crowd.served(), 100);
  EXPECT_EQ(crowd.unserved(), 0);
  EXPECT_LE(flapping.accepted(), 40u);
  EXPECT_NE(node.Call("GET", "/control/servers").find("held_down=1"), std::string::npos);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), CheckOptions())), "");
}

// Guards against losing servers when a resolver is silent or sends invalid responses.
TEST_F(DnsSdDiscoveryTest, KeepsServersWhenTheResolverIsSilentOrSendsInvalidResponses) {
  standins::PgServer& server = AddServer("s");
  responder_.Publish({RecordsFor(server)});
  RunningServer node({}, 256, 1, DnsSdConfig("poll"));
  standins::PgClient client(node.port(), history_, "n1", "c");
  WaitForFirstValue(client);
  for (const auto fault : {standins::DnsFault::kSilent, standins::DnsFault::kGarbage,
                           standins::DnsFault::kWrongId, standins::DnsFault::kNoAuthority}) {
    responder_.SetFault(fault);
    responder_.Withdraw({"s"});
    std::this_thread::sleep_for(400ms);
    EXPECT_EQ(client.Ask("any").value, "from s") << static_cast<int>(fault);
    responder_.Publish({RecordsFor(server)});
    responder_.SetFault(standins::DnsFault::kNone);
    std::this_thread::sleep_for(200ms);
  }
  EXPECT_EQ(ToText(checks::Check(history_.Events(), CheckOptions())), "");
}

}  // namespace
}  // namespace tulipyoke::net
