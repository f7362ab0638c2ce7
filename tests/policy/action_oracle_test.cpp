// Compares the exact actions of the Router with one recorded hash per scenario: seeded random events go in,
// and every field of every action enters the hash. A refactoring must not change any hash; a commit that
// changes behaviour updates the hashes and states the reason.
//
// The hashes hold for IEEE doubles without contraction of floating-point expressions (the default on x86-64)
// and for the exp and pow of glibc.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <ostream>
#include <string>

#include "tests/policy/simulated_cluster.hpp"

namespace tulipyoke::oracle {
namespace {

Settings Default() { return TestSettings(); }
Settings QueueReports() {
  Settings settings = TestSettings();
  settings.report_fields = {"x0", "x1", "queue", "inflight"};
  return settings;
}
Settings RejectingGuard() {
  Settings settings = QueueReports();
  settings.staleness_guard = StalenessGuard::kReject;
  return settings;
}
Settings WaitingGuard() {
  Settings settings = QueueReports();
  settings.staleness_guard = StalenessGuard::kWait;
  settings.catch_up_wait = 50 * kMs;
  return settings;
}
Settings ClientTokens() {
  Settings settings = RejectingGuard();
  settings.token_mode = TokenMode::kSentByClient;
  settings.reports_are_floats = false;
  return settings;
}
Settings ManyRouters() {
  Settings settings = WaitingGuard();
  settings.router_count = 200;
  settings.router_index = 17;
  settings.zone = 1;
  settings.cross_zone_cost = 0.1;
  settings.tenants = {{"first", 400, 0.5}, {"second", 200, 0.5}};
  return settings;
}
Settings NoHealthChecks() {
  Settings settings = TestSettings();
  settings.health_checks_allowed = false;
  settings.cancel_allowed = false;
  settings.retry_after = false;
  settings.max_attempts = 0;
  settings.staleness_guard = StalenessGuard::kReject;
  settings.listed_role = ListedRole::kNever;
  return settings;
}
Settings ReportsInResponses() {
  Settings settings = QueueReports();
  settings.load_report_source = LoadReportSource::kResponses;
  settings.listed_role = ListedRole::kDelayed;
  settings.position_epoch = 40 * kSecond;
  return settings;
}
Settings PolledList() {
  Settings settings = QueueReports();
  settings.poll_endpoint_list = true;
  settings.max_list_age = 4 * kSecond;
  settings.use_gone_servers = true;
  return settings;
}
Settings LateResponsesCount() {
  Settings settings = RejectingGuard();
  for (ClassSettings& c : settings.classes) c.late_weight = 0.3;
  settings.classes[4].retry_scope = RetryScope::kAll;
  settings.classes[0].priority_weight = 3;
  settings.tenants = {{"only", 1000, 1}};
  settings.router_count = 3;
  return settings;
}
Settings LongWarmUp() {
  Settings settings = QueueReports();
  settings.slow_start_fraction = 0.05;
  settings.slow_start_window = 60 * kSecond;
  settings.overload_multiple = 3;
  settings.tenants = {{"only", 300, 1}};
  return settings;
}
Settings NoSlowStart() {
  Settings settings = WaitingGuard();
  settings.slow_start_window = 0;
  settings.overload_window = 0;
  settings.clock_resolution = 0;
  settings.poll_endpoint_list = true;
  settings.max_attempts = 2;
  return settings;
}

struct Scenario {
  const char* name;
  Settings (*settings)();
  std::uint64_t seed;
  ServerId first_server;
  std::uint64_t hash;
  std::uint64_t actions;
};
void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

class ActionOracleTest : public testing::TestWithParam<Scenario> {};

TEST_P(ActionOracleTest, ActionsMatchTheRecordedHash) {
  const Scenario& scenario = GetParam();
  const Outcome outcome = SimulatedCluster(scenario.settings(), scenario.seed, scenario.first_server).Run();
  EXPECT_EQ(outcome.hash, scenario.hash) << std::hex << "0x" << outcome.hash;
  EXPECT_EQ(outcome.actions, scenario.actions);
}

const Scenario kScenarios[] = {
    {"Default", Default, 1, 1, 0xccdd2e6f5ed36ecd, 3563},
    {"DefaultOtherSeed", Default, 2, 1, 0x48d9bc65d1ddbbd1, 3440},
    {"QueueReports", QueueReports, 3, 1, 0xd2f01493a1ea5403, 3115},
    {"RejectingGuard", RejectingGuard, 4, 1, 0x9a46dd4c092c3bb7, 3446},
    {"WaitingGuard", WaitingGuard, 5, 1, 0xb2cbf9bc91fc6e2a, 3363},
    {"ClientTokens", ClientTokens, 6, 1, 0x91f586e6a3bc4fd, 3389},
    {"ManyRouters", ManyRouters, 7, 1, 0x9f03ec18953de4ae, 3031},
    {"NoHealthChecks", NoHealthChecks, 8, 1, 0x95e1d3110cc4e042, 3055},
    {"ReportsInResponses", ReportsInResponses, 9, 1, 0x677d9519ccd925df, 3212},
    {"PolledList", PolledList, 10, 1, 0xdc872ad6269ecae9, 3392},
    {"LateResponsesCount", LateResponsesCount, 11, 1, 0xa3bb91c7749c3383, 3494},
    {"LongWarmUp", LongWarmUp, 12, 1, 0x919e3a6ae4ccae3d, 3558},
    {"NoSlowStart", NoSlowStart, 13, 1, 0x9c219676de596ef8, 3554},
    {"WaitingGuardOtherSeed", WaitingGuard, 14, 1, 0x122d33972f285868, 3317},
    {"RejectingGuardOtherSeed", RejectingGuard, 15, 1, 0x2de2e9968495281c, 3212},
    {"QueueReportsOtherSeed", QueueReports, 16, 1, 0x106a73668690f985, 3558},
    {"ServersFromZero", Default, 17, 0, 0x6515318612dd7ad5, 3372},
    {"ServersFromZeroWithWaitingGuard", WaitingGuard, 18, 0, 0x4e0ab81b00a77762, 3345},
};
INSTANTIATE_TEST_SUITE_P(Scenarios, ActionOracleTest, testing::ValuesIn(kScenarios),
                         [](const auto& instance) { return std::string(instance.param.name); });

// The scenarios produce every kind of action that the Router emits today.
TEST(ActionOracle, ScenariosProduceAllActionKinds) {
  std::array<int, std::variant_size_v<Action>> kinds{};
  for (const Scenario& scenario : kScenarios) {
    const Outcome outcome = SimulatedCluster(scenario.settings(), scenario.seed, scenario.first_server).Run();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) kinds[kind] += outcome.kinds[kind];
  }
  EXPECT_GT(kinds[Action(Send{}).index()], 10000);
  EXPECT_GT(kinds[Action(Reject{}).index()], 1000);
  EXPECT_GT(kinds[Action(Fail{}).index()], 100);
  EXPECT_GT(kinds[Action(Cancel{}).index()], 100);
  EXPECT_GT(kinds[Action(SetTimer{}).index()], 10000);
  EXPECT_GT(kinds[Action(CheckHealth{}).index()], 1000);
  EXPECT_GT(kinds[Action(WatchEndpointList{}).index()], 10);
}

}  // namespace
}  // namespace tulipyoke::oracle
