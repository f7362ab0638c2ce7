// What one router of hundreds does: it sees little, and what it costs servers is paid by all of them.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

Settings FleetSettings() {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kWait;
  s.catch_up_wait = 20 * kMs;
  s.listed_role = ListedRole::kNever;
  s.router_count = 300;
  return s;
}

// Guards against hundreds of routers that all ask all servers at their start: one may ask one server then.
TEST(Fleet, HealthChecksAtOnceAreSharedByAllRouters) {
  RouterHarness scene(FleetSettings());
  std::size_t probes = ActionsOfType<CheckHealth>(scene.Arrive(1, kFreshRead)).size();
  for (int i = 0; i < 10; ++i) probes += ActionsOfType<CheckHealth>(scene.Advance(50 * kMs)).size();
  EXPECT_EQ(probes, 1u);
}

// Guards against writes rejected because no health check was left to find their primary: the members are
// tried in turn, each once, and what their answers told holds for the writes that follow.
TEST(Fleet, AWriteFindsItsPrimaryWhenNobodyCanBeAsked) {
  RouterHarness scene(FleetSettings());
  const auto asked =
      ActionsOfType<CheckHealth>(scene.Arrive(1, kFreshRead));  // the one health check that there is
  ASSERT_EQ(asked.size(), 1u);
  scene.ReportHealthCheck(asked[0].server, 0, false);
  std::set<ServerId> tried;
  auto to = SentTo(scene.Arrive(2, kNonIdempotentWrite), 2);
  while (to && *to != 3) {
    EXPECT_TRUE(tried.insert(*to).second) << "a second try of " << *to;
    to = SentTo(scene.EndAttempt(2, *to, Status::kStaleOrWrongRole, Role::kReplica, scene.now_ms() - 10), 2);
  }
  ASSERT_EQ(to, 3u);
  scene.EndAttempt(2, 3, Status::kOk, Role::kPrimary, scene.now_ms());
  EXPECT_EQ(SentTo(scene.Arrive(3, kNonIdempotentWrite), 3), 3u);
}

// Guards against bounded reads parked for a health check that never comes: where servers check by themselves,
// one read goes ahead of what was shown, and only one.
TEST(Fleet, AReadChecksTheFreshnessOfAReplicaByItself) {
  RouterHarness scene(FleetSettings());
  const auto first = SentTo(scene.Arrive(1, kBoundedRead), 1);
  const auto second = SentTo(scene.Arrive(2, kBoundedRead), 2);
  const auto third = SentTo(scene.Arrive(3, kBoundedRead), 3);
  ASSERT_TRUE(first && second && third);
  EXPECT_EQ((std::set<ServerId>{*first, *second, *third}).size(), 3u);
  EXPECT_FALSE(SentTo(scene.Arrive(4, kBoundedRead), 4));
  Settings off = FleetSettings();
  off.staleness_guard = StalenessGuard::kOff;
  RouterHarness unguarded(off);
  EXPECT_FALSE(SentTo(unguarded.Arrive(1, kBoundedRead), 1));
}

// Guards against a jammed replica that a router which asks it once in seconds learns of only after tens of
// requests: one answer after a silence counts for half, and what nothing confirms is forgotten.
TEST(Fleet, OneLateAnswerAfterASilenceIsEnoughToPassAServerOver) {
  RouterHarness scene(FleetSettings());
  const auto slow = SentTo(scene.Arrive(1, kAnyRead), 1);
  ASSERT_TRUE(slow);
  scene.Advance(390 * kMs);
  scene.EndAttempt(1, *slow, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 390 * kMs);
  int again = 0;
  for (RequestId id = 2; id < 12; ++id) {
    const auto to = SentTo(scene.Arrive(id, kAnyRead), id);
    if (!to) continue;  // shed
    again += *to == *slow;
    scene.EndAttempt(id, *to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 60 * kMs);
  }
  EXPECT_EQ(again, 0);
  // The others die: it is asked again.
  for (const ServerId other : {1u, 2u, 3u}) {
    EndpointEntry gone = ReadyEntry(other);
    gone.state = ServerState::kGone;
    if (other != *slow) scene.UpdateList(EndpointListKind::kDelta, {gone});
  }
  scene.Advance(5 * kSecond);
  EXPECT_EQ(SentTo(scene.Arrive(20, kAnyRead), 20), *slow);
}

// Guards against a share of admitted reads that stays low for minutes where few answers could raise it.
TEST(Fleet, ReadsAreAdmittedAgainWhenNothingConfirmsTheOverload) {
  RouterHarness scene(FleetSettings());
  for (RequestId id = 1; id <= 5; ++id) {
    scene.Advance(kSecond);
    if (const auto to = SentTo(scene.Arrive(id, kAnyRead), id))
      scene.EndAttempt(id, *to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 390 * kMs);
  }
  scene.Advance(20 * kSecond);
  int sent = 0;
  for (RequestId id = 10; id < 20; ++id) {
    const auto to = SentTo(scene.Arrive(id, kAnyRead), id);
    sent += to.has_value();
    if (to) scene.EndAttempt(id, *to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 20 * kMs);
  }
  EXPECT_GE(sent, 8);
}

// Guards against an overloaded group that rejects reads alike, whatever they are worth.
TEST(Fleet, AnOverloadedGroupAdmitsTheReadsOfTheHighestPriority) {
  Settings settings = FleetSettings();
  settings.classes[kSessionRead].priority_weight = 3;
  RouterHarness scene(settings);
  std::map<int, int> sent;
  for (RequestId id = 1; id <= 400; ++id) {
    scene.Advance(200 * kMs);
    const int kind = id % 2 == 0 ? kAnyRead : kSessionRead;
    const auto to = SentTo(scene.Arrive(id, kind), id);
    if (!to) continue;
    ++sent[kind];
    // More than half of the answers are too late, so that less than half of the reads are admitted.
    const Micros took = id % 10 < 6 ? 390 * kMs : 20 * kMs;
    scene.EndAttempt(id, *to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, took);
  }
  EXPECT_GT(sent[kSessionRead], 2 * sent[kAnyRead]);
}

// Guards against reads rejected after one quick error with nearly all of their time left: reads that time out
// at their objective, and so have no retry, took the budget of those that could have one.
TEST(Fleet, OnlyARetryThatCanFollowIsChargedFor) {
  RouterHarness scene(FleetSettings());
  std::vector<EndpointEntry> listed = {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4)};
  for (ServerId other = 11; other <= 16; ++other) listed.push_back(ReadyEntry(other, false, 1));
  scene.UpdateList(EndpointListKind::kCached, listed);
  std::map<RequestId, ServerId> out;
  for (RequestId id = 1; id <= 6; ++id) {
    if (const auto to = SentTo(scene.Arrive(id, kAnyRead, 0, 1000 * kMs, 1), id)) out[id] = *to;
  }
  ASSERT_GE(out.size(), 4u);
  scene.Advance(400 * kMs);
  for (const auto& [id, to] : out) {
    scene.EndAttempt(id, to, Status::kTimeout, Role::kUnknown, {}, -1, false, 400 * kMs);
  }
  auto to = SentTo(scene.Arrive(10, kAnyRead), 10);
  std::set<ServerId> tried;
  while (to) {
    EXPECT_TRUE(tried.insert(*to).second);
    to = SentTo(
        scene.EndAttempt(10, *to, Status::kError, Role::kReplica, scene.now_ms() - 5, -1, false, 4 * kMs),
        10);
  }
  EXPECT_EQ(tried.size(), 3u);  // two retries, at two fifths each, and the group has no more
}

// Guards against a read that goes round replicas which all lag, a wait and a connection at each.
TEST(Fleet, AReadIsRejectedByThreeReplicasAtMost) {
  RouterHarness scene(FleetSettings());
  scene.UpdateList(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4),
                                               ReadyEntry(5), ReadyEntry(6)});
  auto to = SentTo(scene.Arrive(1, kBoundedRead), 1);
  int misses = 0;
  for (; to && misses < 10; ++misses) {
    scene.Advance(20 * kMs);
    const auto actions =
        scene.EndAttempt(1, *to, Status::kStaleOrWrongRole, Role::kReplica, scene.now_ms() - 900);
    to = SentTo(actions, 1);
    EXPECT_EQ(ActionsOfType<Reject>(actions).size(), to ? 0u : 1u);
  }
  EXPECT_EQ(misses, 3);
}

// Guards against connections to every server from every router: what answered of late is gone back to.
TEST(Fleet, ARouterKeepsToTheServersThatItHasConnectionsTo) {
  RouterHarness scene(FleetSettings());
  scene.UpdateList(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4),
                                               ReadyEntry(5), ReadyEntry(6)});
  std::set<ServerId> used;
  for (RequestId id = 1; id <= 30; ++id) {
    scene.Advance(kSecond);
    const auto to = SentTo(scene.Arrive(id, kAnyRead), id);
    ASSERT_TRUE(to);
    used.insert(*to);
    scene.EndAttempt(id, *to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true,
                     (90 + id % 20) * kMs);
  }
  EXPECT_LE(used.size(), 2u);
}

// What 300 routers together send a server that has just started, by tenths of a second. `skewed`: some see
// many times what others do.
std::vector<int> SentToACold(bool skewed) {
  constexpr int kRouters = 300, kTenths = 180;
  constexpr double kQuota = 240, kOffered = 200;  // a second, of three servers
  Settings settings = FleetSettings();
  settings.tenants = {{"all", kQuota, 1}};
  settings.slow_start_fraction = 0.15;
  settings.slow_start_window = 18 * kSecond;
  settings.overload_window = 3 * kSecond;
  settings.overload_multiple = 3;
  std::vector<std::unique_ptr<RouterHarness>> routers;
  std::vector<double> weights;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<RouterHarness>(settings, static_cast<std::uint64_t>(i)));
    weights.push_back(skewed ? 1.0 / (1 + i % 30) : 1.0);
    EndpointEntry cold = ReadyEntry(3);
    cold.boot_time = routers.back()->now();
    EndpointEntry leaves = ReadyEntry(2);
    leaves.state = ServerState::kDraining;
    routers.back()->UpdateList(EndpointListKind::kDelta, {cold, leaves});
    routers.back()->ReportHealthCheck(1, 0, true);  // the primary takes no reads but in need
  }
  std::mt19937 random(7);
  std::discrete_distribution<int> whose(weights.begin(), weights.end());
  std::vector<int> sent;
  RequestId next = 0;
  for (int tenth = 0; tenth < kTenths; ++tenth) {
    sent.push_back(0);
    std::vector<std::tuple<int, RequestId, ServerId>> out;
    for (int i = 0; i < kOffered / 10; ++i) {
      const int router = whose(random);
      const RequestId id = ++next;
      const auto to = SentTo(routers[static_cast<std::size_t>(router)]->Arrive(id, kAnyRead), id);
      if (to) out.emplace_back(router, id, *to);
    }
    for (const auto& router : routers) {
      for (const Send& late : ActionsOfType<Send>(router->Advance(60 * kMs))) sent.back() += late.server == 3;
    }
    for (const auto& [router, id, to] : out) {
      sent.back() += to == 3;
      RouterHarness& scene = *routers[static_cast<std::size_t>(router)];
      scene.EndAttempt(id, to, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 60 * kMs);
    }
    for (const auto& router : routers) router->Advance(40 * kMs);
  }
  return sent;
}

// Guards against "one each" from hundreds of routers, and against a budget that is next to nothing because
// each sees next to nothing. The server bears an even part of the quota once it is warm.
TEST(Fleet, HundredsOfRoutersTogetherKeepToSlowStartAndUseTheServer) {
  for (const bool skewed : {false, true}) {
    const std::vector<int> sent = SentToACold(skewed);
    for (std::size_t from = 0; from + 30 <= sent.size(); ++from) {
      const int window = std::accumulate(sent.begin() + static_cast<std::ptrdiff_t>(from),
                                         sent.begin() + static_cast<std::ptrdiff_t>(from) + 30, 0);
      const double present = 0.15 + 0.85 * static_cast<double>(from) / 180;
      const double capacity = 80 * 3 * present;  // requests in a window
      EXPECT_LT(window, 2 * capacity) << skewed << " " << from;
      EXPECT_GT(window, from < 30 ? 0 : 0.35 * capacity) << skewed << " " << from;
    }
  }
}

// Guards against writes that go round replicas, and are rejected after eight misses, while their primary is
// known and has only just started: they wait for it. All routers together keep to the rule.
TEST(Fleet, WritesWaitForAPrimaryThatWarmsUp) {
  constexpr int kRouters = 300;
  Settings settings = FleetSettings();
  settings.tenants = {{"all", 240, 1}};  // a second, of three servers
  settings.slow_start_fraction = 0.15;
  settings.slow_start_window = 18 * kSecond;
  settings.overload_window = 3 * kSecond;
  settings.overload_multiple = 3;
  int to_primary = 0, to_others = 0;
  for (int i = 0; i < kRouters; ++i) {
    RouterHarness scene(settings, static_cast<std::uint64_t>(i));
    // The one health check that there is has been spent.
    for (const CheckHealth& asked : ActionsOfType<CheckHealth>(scene.Arrive(1, kFreshRead)))
      scene.ReportHealthCheck(asked.server, 0, false);
    scene.ReportHealthCheck(1, 0, true);
    scene.EndAttempt(1, 1, Status::kOk, Role::kPrimary, scene.now_ms());
    EndpointEntry cold = ReadyEntry(1);
    cold.boot_time = scene.now();
    scene.UpdateList(EndpointListKind::kDelta, {cold});
    scene.Advance(900 * kMs);
    auto actions = scene.Arrive(2, kNonIdempotentWrite, 0, 5 * kSecond);
    const auto later = scene.Advance(2 * kSecond);
    actions.insert(actions.end(), later.begin(), later.end());
    for (const Send& s : ActionsOfType<Send>(actions)) ++(s.server == 1 ? to_primary : to_others);
  }
  EXPECT_EQ(to_others, 0);
  const double capacity = 80 * 3 * (0.15 + 0.85 * 1.5 / 18);  // requests in its first window
  EXPECT_GT(to_primary, 1.2 * capacity);
  EXPECT_LT(to_primary, 2.5 * capacity);
}

// Guards against a server that is passed over, long after it is back, for what the process before it did.
TEST(Fleet, ARestartedServerIsJudgedAnew) {
  RouterHarness scene;
  RequestId id = 0;
  std::optional<ServerId> to;
  while (to != 2u) {  // the other one is passed over once it is the busier one
    ++id;
    to = SentTo(scene.Arrive(id, kAnyRead), id);
    ASSERT_TRUE(to && id < 10);
  }
  scene.Advance(kSecond);
  scene.EndAttempt(id, 2, Status::kTimeout, Role::kUnknown, {}, -1, true, kSecond);
  if (id > 1) scene.EndAttempt(1, 3, Status::kOk, Role::kReplica, scene.now_ms() - 5, -1, true, 60 * kMs);
  scene.Advance(kMs);
  EXPECT_EQ(SentTo(scene.Arrive(id + 1, kAnyRead), id + 1), 3u);  // and is busy with it
  EndpointEntry anew = ReadyEntry(2);
  anew.boot_time = scene.now();
  scene.UpdateList(EndpointListKind::kDelta, {anew});
  EXPECT_EQ(SentTo(scene.Arrive(id + 2, kAnyRead), id + 2), 2u);
}

}  // namespace
}  // namespace tulipyoke
