// Servers and groups as the endpoint list and the observed roles tell them.
#include "src/endpoints/endpoint_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "src/endpoints/list_refresh.hpp"
#include "src/endpoints/outcome_observer.hpp"
#include "src/endpoints/warm_rates.hpp"
#include "tests/scene.hpp"

namespace tulipyoke::endpoints {
namespace {

class EndpointTableTest : public testing::Test {
 protected:
  explicit EndpointTableTest(const Settings& settings = TestSettings())
      : context_(settings, 1), checks_(context_), table_(context_) {}

  void Apply(EndpointListKind kind, std::vector<EndpointEntry> entries) {
    EventScope scope{now_, actions_};
    table_.Apply({kind, 1, std::move(entries)}, checks_, scope);
  }
  static EndpointEntry WithState(ServerId id, ServerState state) {
    EndpointEntry entry = Ready(id);
    entry.state = state;
    return entry;
  }

  RoutingContext context_;
  HealthChecks checks_;
  EndpointTable table_;
  std::vector<Action> actions_;
  Micros now_ = 100 * kSecond;
};

TEST_F(EndpointTableTest, AServerThatJoinsIsCheckedAndWarmsUp) {
  Apply(EndpointListKind::kCached, {Ready(1, true)});
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(table_.At(1).slow_start_from, kNever);
  Apply(EndpointListKind::kDelta, {Ready(2)});
  ASSERT_EQ(Only<CheckHealth>(actions_).size(), 1u);
  EXPECT_EQ(Only<CheckHealth>(actions_)[0].server, 2u);
  EXPECT_EQ(table_.At(2).slow_start_from, now_);
  EXPECT_TRUE(IsWarm(context_, table_.At(1), now_));
  EXPECT_FALSE(IsWarm(context_, table_.At(2), now_));
}

TEST_F(EndpointTableTest, AFullListClosesWhatItLeavesOut) {
  Apply(EndpointListKind::kCached, {Ready(1, true), Ready(2), Ready(3)});
  Apply(EndpointListKind::kFull, {Ready(1, true), WithState(3, ServerState::kDraining)});
  EXPECT_TRUE(table_.At(1).open);
  EXPECT_FALSE(table_.At(2).open);
  EXPECT_FALSE(table_.At(3).open);
  EXPECT_EQ(table_.most_open(), 3u);
  Apply(EndpointListKind::kDelta, {WithState(9, ServerState::kGone)});
  EXPECT_EQ(table_.Find(9), nullptr);
}

TEST_F(EndpointTableTest, AnObservedPrimaryHoldsAgainstAListedOne) {
  Apply(EndpointListKind::kCached, {Ready(1, true), Ready(2), Ready(3)});
  EXPECT_EQ(table_.GroupAt(0).primary, 1u);
  table_.ObserveRole(table_.At(3), Role::kPrimary, now_);
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(2), Role::kPrimary, now_ - kSecond);  // from before the switch
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(3), Role::kReplica, now_ - 1);  // older than what is known
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(3), Role::kReplica, now_ + 1);
  EXPECT_EQ(table_.GroupAt(0).primary, 2u);
}

TEST_F(EndpointTableTest, AGoneServerIsDroppedOnceNothingIsInFlightThere) {
  Apply(EndpointListKind::kCached, {Ready(1), Ready(2)});
  table_.NoteOpenServers(now_);
  Apply(EndpointListKind::kDelta, {WithState(1, ServerState::kGone), WithState(2, ServerState::kGone)});
  table_.At(2).in_flight.Add({.id = 7});
  table_.DropGoneServers(now_ + 2 * kSecond);
  EXPECT_NE(table_.Find(1), nullptr);
  table_.DropGoneServers(now_ + 2 * kSecond + 1);
  EXPECT_EQ(table_.Find(1), nullptr);
  EXPECT_NE(table_.Find(2), nullptr);
  EXPECT_EQ(table_.GroupAt(0).members, std::vector<ServerId>{2});
}

TEST_F(EndpointTableTest, ANewBootTimeForgetsWhatWasLearned) {
  Apply(EndpointListKind::kCached, {Ready(1), Ready(2)});
  Server& server = table_.At(2);
  server.slowness.Observe(now_, context_.scales, 5);
  server.failures.Observe(now_, true, kSecond);
  EndpointEntry restarted = Ready(2);
  restarted.boot_time = now_ + 1;
  Apply(EndpointListKind::kDelta, {restarted});
  EXPECT_DOUBLE_EQ(server.slowness.At(now_, kSecond), 1);
  EXPECT_DOUBLE_EQ(server.failures.At(now_, kSecond), 0);
  EXPECT_EQ(server.slow_start_from, now_ + 1);
}

TEST_F(EndpointTableTest, TheWarmRateIsThatOfWarmReplicas) {
  Apply(EndpointListKind::kCached, {Ready(1, true), Ready(2), Ready(3)});
  for (const ServerId id : {1u, 2u, 3u}) {
    table_.At(id).throughput.Add(now_, id * 100 * kMs, context_.scales.work_span);
  }
  UpdateWarmRates(context_, table_, now_);
  const double expected = table_.At(2).throughput.Rate(now_, kSecond, context_.scales.work_span) * 1.25;
  EXPECT_NEAR(table_.GroupAt(0).warm_rate, expected, expected / 100);
}

TEST_F(EndpointTableTest, HealthChecksKeepToTheirInterval) {
  Apply(EndpointListKind::kCached, {Ready(1)});
  Server& server = table_.At(1);
  EventScope scope{now_, actions_};
  checks_.Request(server, 50 * kMs, scope);
  checks_.Request(server, 0, scope);  // one is in progress
  EXPECT_EQ(actions_.size(), 1u);
  server.health_check.in_progress = false;
  checks_.Request(server, 50 * kMs, scope);
  EXPECT_EQ(actions_.size(), 1u);
  scope.now += 50 * kMs;
  checks_.Request(server, 50 * kMs, scope);
  EXPECT_EQ(actions_.size(), 2u);
}

// Guards against hundreds of routers that check all servers at once.
TEST_F(EndpointTableTest, HealthChecksKeepToTheirBudget) {
  Apply(EndpointListKind::kCached, {Ready(1)});
  Server& server = table_.At(1);
  EventScope scope{now_, actions_};
  const auto request = [&] {
    server.health_check.in_progress = false;
    checks_.Request(server, 0, scope);
  };
  for (int i = 0; i < 40; ++i) request();
  EXPECT_EQ(actions_.size(), 20u);
  for (int i = 0; i < 6; ++i) checks_.Refill();  // a fifth of a check each
  request();
  request();
  EXPECT_EQ(actions_.size(), 21u);
}

TEST_F(EndpointTableTest, ChecksThatShowNothingNewComeLessOften) {
  HealthCheckState check;
  checks_.SetInterval(check, true);
  EXPECT_EQ(check.interval, 50 * kMs);
  checks_.SetInterval(check, false);
  EXPECT_EQ(check.interval, 100 * kMs);
  for (int i = 0; i < 5; ++i) checks_.SetInterval(check, false);
  EXPECT_EQ(check.interval, 400 * kMs);
}

TEST_F(EndpointTableTest, AnEjectedServerAdmitsOneTrialAfterACheck) {
  Apply(EndpointListKind::kCached, {Ready(1)});
  Server& server = table_.At(1);
  EXPECT_TRUE(server.AdmitsTrial(true));
  server.ejection.Eject(now_, limits::OutlierSign::kSlow, context_.scales, context_.random);
  EXPECT_FALSE(server.AdmitsTrial(true));
  EXPECT_TRUE(server.AdmitsTrial(false));  // where there are no health checks
  server.health_check.succeeded = now_;
  EXPECT_TRUE(server.AdmitsTrial(true));
  server.in_flight.Add({.id = 1, .sent = now_});
  EXPECT_FALSE(server.AdmitsTrial(true));
}

TEST_F(EndpointTableTest, AnOutcomeTellsLatencyAndPosition) {
  Apply(EndpointListKind::kCached, {Ready(1, true), Ready(2)});
  sessions::ConsistencyTokens tokens;
  OutcomeObserver observer(context_, table_, tokens);
  AttemptEnded outcome;
  outcome.server = 2;
  outcome.elapsed = 390 * kMs;
  outcome.role = Role::kReplica;
  outcome.position_ms = now_ / kMs - 5;
  Server& server = table_.At(2);
  observer.ObserveAttempt(server, {.id = 1, .class_index = kAnyRead, .sent = now_ - 390 * kMs}, outcome,
                          now_);
  EXPECT_GT(server.slowness.At(now_, kSecond), 1.5);
  EXPECT_EQ(server.position.value(), now_ - 5 * kMs);
  EXPECT_EQ(server.role, Role::kReplica);
  EXPECT_LT(table_.GroupAt(0).admission.AdmittedShare(now_, kSecond), 1);  // it was late
  EXPECT_FALSE(server.concurrency_limit.Admits(1));
}

TEST_F(EndpointTableTest, ACommitIsRecordedForItsSession) {
  Apply(EndpointListKind::kCached, {Ready(1, true), Ready(2)});
  sessions::ConsistencyTokens tokens;
  OutcomeObserver observer(context_, table_, tokens);
  AttemptEnded outcome;
  outcome.role = Role::kPrimary;
  outcome.position_ms = 77;
  observer.ObserveAttempt(table_.At(1), {.id = 1, .class_index = kKeyedWrite, .key = 5}, outcome, now_);
  EXPECT_EQ(tokens.Required(5, 0), 77 * kMs);
  outcome.position_ms.reset();  // not told: taken to be now
  observer.ObserveAttempt(table_.At(1), {.id = 2, .class_index = kKeyedWrite, .key = 6}, outcome, now_);
  EXPECT_EQ(tokens.Required(6, 0), now_);
}

TEST(ListRefresh, AsksAtHalfTheAgeThatAListMayHave) {
  Settings settings = TestSettings();
  settings.poll_endpoint_list = true;
  settings.max_list_age = 4 * kSecond;
  const RoutingContext context(settings, 1);
  ListRefresh refresh(context);
  std::vector<Action> actions;
  for (Micros now = 100 * kSecond; now <= 106 * kSecond; now += 100 * kMs) {
    EventScope scope{now, actions};
    refresh.RunIfDue(scope);
  }
  EXPECT_EQ(Only<WatchEndpointList>(actions).size(), 4u);
  refresh.Failed(106 * kSecond);
  EventScope soon{106 * kSecond + 400 * kMs, actions};
  refresh.RunIfDue(soon);
  EXPECT_EQ(Only<WatchEndpointList>(actions).size(), 5u);
}

}  // namespace
}  // namespace tulipyoke::endpoints
