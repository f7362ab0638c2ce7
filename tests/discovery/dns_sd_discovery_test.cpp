// The whole router on loopback, with servers that it knows from DNS-SD records only.
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

checks::RuleOptions Rules() {
  checks::RuleOptions rules;
  rules.classes["any"] = {};
  return rules;
}

class DnsSdDiscoveryTest : public testing::Test {
 protected:
  // Ends the servers before the loop.
  ~DnsSdDiscoveryTest() override { loop_.Stop(); }

  RunningServer::Adjust FromRecords(const std::string& mode, nlohmann::json more = nlohmann::json::object()) {
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
  static standins::Published RecordsOf(const standins::PgServer& server) {
    return {server.name(), "127.0.0.1", server.port(), {"txtvers=1", "group=0"}, 10, ""};
  }
  // Waits until a statement is served: the router has learnt of a server by then.
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

TEST_F(DnsSdDiscoveryTest, ServesFromServersKnownByRecordsAlone) {
  for (const char* mode : {"poll", "serial", "transfer"}) {
    standins::PgServer& server = AddServer(std::string("s-") + mode);
    responder_.Publish({RecordsOf(server)});
    RunningServer node({}, 256, 1, FromRecords(mode));
    standins::PgClient client(node.port(), history_, mode, mode);
    EXPECT_EQ(FirstValue(client), "from " + server.name()) << node.Call("GET", "/control/servers");
    responder_.Withdraw({server.name()});
  }
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

// The drain timeout of 2 s runs from the answer without the record; running statements are finished.
TEST_F(DnsSdDiscoveryTest, ARecordThatVanishesDrainsItsServerAndNoRequestIsLost) {
  standins::PgServer& going = AddServer("going");
  standins::PgServer& staying = AddServer("staying");
  for (standins::PgServer* server : {&going, &staying}) server->Behave({.service = 60'000});
  responder_.Publish({RecordsOf(going), RecordsOf(staying)});
  RunningServer node({}, 256, 1, FromRecords("serial"));
  standins::PgClient first(node.port(), history_, "n1", "first");
  FirstValue(first);
  standins::PgCrowd crowd(node.port(), history_, "n1", 6, "any");
  for (int i = 0; going.statements() < 5 && i < 500; ++i) std::this_thread::sleep_for(10ms);
  ASSERT_GE(going.statements(), 5u);
  // Told no earlier than this; counted from here the rule is only stricter.
  history_.Add(standins::Loop::Now(), checks::Told{"n1", going.name(), checks::Heard::kDraining});
  responder_.Withdraw({going.name()});
  std::this_thread::sleep_for(600ms);
  const std::size_t by_then = going.statements();
  const std::size_t connections = going.accepted();
  std::this_thread::sleep_for(2200ms);
  EXPECT_EQ(going.statements(), by_then) << "well under 2 s, nothing new goes there";
  EXPECT_EQ(going.accepted(), connections);
  crowd.Stop();
  EXPECT_GT(crowd.served(), 50);
  EXPECT_EQ(crowd.unserved(), 0);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

// 200 servers that are warming up come in one answer, to three routers: none is overloaded, the warm ones go
// on serving, and connections are limited in rate.
TEST_F(DnsSdDiscoveryTest, AFloodOfColdServersIsPushedOverByNoneOfThreeRouters) {
  standins::PgServer& warm = AddServer("warm");
  responder_.Publish({RecordsOf(warm)});
  const auto adjust = FromRecords("transfer");
  const auto three = [&](Config& config) {
    adjust(config);
    config.settings.classes[0].latency_objective = 1'000'000;  // a busy machine turns nobody away
    config.settings.router_count = 3;
    config.settings.health_checks_allowed = true;
    config.settings.load_report_source = LoadReportSource::kHealthChecks;
    config.settings.report_fields = {"x0", "x1", "util"};
  };
  std::vector<std::unique_ptr<RunningServer>> nodes;
  std::vector<std::unique_ptr<standins::PgCrowd>> crowds;
  for (int i = 0; i < 3; ++i) {
    nodes.push_back(std::make_unique<RunningServer>(std::vector<std::uint16_t>(), 256, 1, three));
    const std::string name = "n" + std::to_string(i);
    standins::PgClient first(nodes.back()->port(), history_, name, name + "-first");
    ASSERT_EQ(FirstValue(first), "from warm");
    crowds.push_back(std::make_unique<standins::PgCrowd>(nodes.back()->port(), history_, name, 4, "any"));
  }
  std::vector<standins::Published> flood;
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  for (int i = 0; i < 200; ++i) {
    standins::PgServer& cold = AddServer("cold-" + std::to_string(i));
    cold.Start(1);
    flood.push_back(RecordsOf(cold));
    flood.back().text.push_back("started=" + std::to_string(unix_ms));
  }
  responder_.Publish(flood);
  std::this_thread::sleep_for(1500ms);
  std::size_t reached = 0;
  for (std::size_t i = 1; i < servers_.size(); ++i) reached += servers_[i]->accepted() > 0 ? 1 : 0;
  EXPECT_GT(reached, 0u) << "some are let in";
  EXPECT_LE(reached, 40u) << "and not all at once";
  std::this_thread::sleep_for(1500ms);
  for (const auto& crowd : crowds) {
    crowd->Stop();
    EXPECT_GT(crowd->served(), 50);
    EXPECT_LE(crowd->unserved(), crowd->served() / 50);
  }
  EXPECT_GT(warm.statements(), 100u);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

TEST_F(DnsSdDiscoveryTest, FlappingRecordsLoseNoRequestAndMakeNoStormOfProbes) {
  standins::PgServer& steady = AddServer("steady");
  standins::PgServer& flaps = AddServer("flaps");
  responder_.Publish({RecordsOf(steady), RecordsOf(flaps)});
  RunningServer node({}, 256, 1, FromRecords("serial"));
  standins::PgClient first(node.port(), history_, "n1", "first");
  FirstValue(first);
  standins::PgCrowd crowd(node.port(), history_, "n1", 4, "any");
  for (int i = 0; i < 12; ++i) {
    responder_.Withdraw({"flaps"});
    std::this_thread::sleep_for(150ms);
    responder_.Publish({RecordsOf(flaps)});
    std::this_thread::sleep_for(150ms);
  }
  crowd.Stop();
  EXPECT_GT(crowd.served(), 100);
  EXPECT_EQ(crowd.unserved(), 0);
  EXPECT_LE(flaps.accepted(), 40u);
  EXPECT_NE(node.Call("GET", "/control/servers").find("held_down=1"), std::string::npos);
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

// Guards against servers that are lost because a resolver is silent or answers nonsense.
TEST_F(DnsSdDiscoveryTest, TheListHoldsThroughSilenceAndNonsense) {
  standins::PgServer& server = AddServer("s");
  responder_.Publish({RecordsOf(server)});
  RunningServer node({}, 256, 1, FromRecords("poll"));
  standins::PgClient client(node.port(), history_, "n1", "c");
  FirstValue(client);
  for (const auto fault : {standins::DnsFault::kSilent, standins::DnsFault::kGarbage,
                           standins::DnsFault::kWrongId, standins::DnsFault::kNoAuthority}) {
    responder_.SetFault(fault);
    responder_.Withdraw({"s"});
    std::this_thread::sleep_for(400ms);
    EXPECT_EQ(client.Ask("any").value, "from s") << static_cast<int>(fault);
    responder_.Publish({RecordsOf(server)});
    responder_.SetFault(standins::DnsFault::kNone);
    std::this_thread::sleep_for(200ms);
  }
  EXPECT_EQ(ToText(checks::Check(history_.Events(), Rules())), "");
}

}  // namespace
}  // namespace tulipyoke::net
