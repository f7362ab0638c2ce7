// Tests the parsing of the program's configuration document.
#include "src/config/config.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <variant>

#include "adapter/settings_parser.hpp"

namespace tulipyoke {
namespace {

const std::string kConfig = R"({"name":"n3","listen":"127.0.0.1:6432","discovery":"127.0.0.1:8500",
 "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
 "known":{"revision":41,"complete":true,"members":[
   {"id":"s-1","host_port":"127.0.0.1:6432","locality":"a","flavor":"m2","cell":3,"phase":"terminating",
    "size":1.5,"up_since_ms":12},
   {"id":5},{"phase":"in_service"},{"id":"s-2","phase":"resting"}]},
 "settings":{"failure_domains":["a","b"],"services":[{"name":"map read","semantics":"guarded","group":"cell",
   "aim":300000,"deadline":1200000}],"domain":{"freshness":["recent"],"lag_allowed":[200000]},
   "policy_limits":{"connect_timeout":125000,"probes":true},"stats":{"fields":["x0","x1"]}}})";

TEST(Config, ParsesADocument) {
  const Config config = ParseConfig(kConfig);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.memory_bytes, std::size_t{64} << 20);
  EXPECT_EQ(config.max_sockets, 256);
  EXPECT_EQ(config.admin_address, "");  // disabled by default
  EXPECT_EQ(config.connect_timeout, 125'000);
  EXPECT_EQ(config.idle_timeout, 15'000'000);
  EXPECT_EQ(config.failure_domains, (std::vector<std::string>{"a", "b"}));
  ASSERT_EQ(config.settings.classes.size(), 1u);
  EXPECT_EQ(config.settings.classes[0].name, "map read");
  EXPECT_EQ(config.settings.classes[0].idempotency, Idempotency::kWithKey);
  EXPECT_EQ(config.settings.classes[0].freshness, Freshness::kBounded);
  EXPECT_EQ(config.settings.classes[0].staleness_bound, 200'000);
  EXPECT_TRUE(config.settings.health_checks_allowed);
  EXPECT_EQ(config.settings.report_fields, (std::vector<std::string>{"x0", "x1"}));
  // Invalid server entries are skipped and the others are kept.
  ASSERT_EQ(config.cached_listing.servers.size(), 1u);
  EXPECT_EQ(config.cached_listing.version, 41u);
  EXPECT_EQ(config.cached_listing.servers[0].state, ServerState::kDraining);
  EXPECT_EQ(config.cached_listing.servers[0].started_unix_ms, 12);
  EXPECT_EQ(config.cached_listing.servers[0].group, 3);
}

// The program's JSON and the simulator's lines must give the same settings.
TEST(Config, JsonAndLinesGiveTheSameSettings) {
  const Settings json = ParseConfig(kConfig).settings;
  const auto lines = std::get<Settings>(wire::ParseSettings(
      "services.count=1\nservices.0.name=map read\nservices.0.semantics=guarded\nservices.0.group=cell\n"
      "services.0.aim=300000\nservices.0.deadline=1200000\ndomain.freshness=recent\n"
      "domain.lag_allowed=200000\npolicy_limits.probes=true\nstats.fields=x0,x1\n"));
  EXPECT_EQ(json.classes[0].name, lines.classes[0].name);
  EXPECT_EQ(json.classes[0].staleness_bound, lines.classes[0].staleness_bound);
  EXPECT_EQ(json.classes[0].retry_scope, lines.classes[0].retry_scope);
  EXPECT_EQ(json.report_fields, lines.report_fields);
  EXPECT_EQ(json.health_checks_allowed, lines.health_checks_allowed);
}

// The program must not start with an incomplete or invalid configuration.
TEST(Config, AnInvalidDocumentIsRejected) {
  for (const char* text : {"", "{", "[]", "{}", R"({"settings":{}})", R"({"settings":{"services":7}})",
                           R"({"settings":{"services":[{"aim":"soon"}]}})",
                           R"({"seed":"xyz","settings":{"services":[{"name":"a"}]}})",
                           R"({"limits":{"sockets":3},"settings":{"services":[{"name":"a"}]}})"}) {
    EXPECT_THROW(ParseConfig(text), std::runtime_error) << text;
  }
}

}  // namespace
}  // namespace tulipyoke
