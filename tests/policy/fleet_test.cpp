// Tests one of hundreds of routers: it sees only a small part of the traffic, but its load on the servers
// adds up with that of the others.
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

// Guards against hundreds of routers that all check all servers at startup: each may check one server then.
TEST(Fleet, InitialHealthChecksAreLimitedAcrossRouters) {
  RouterHarness harness(FleetSettings());
  std::size_t health_checks = ActionsOfType<CheckHealth>(harness.Arrive(1, kFreshRead)).size();
  for (int i = 0; i < 10; ++i) health_checks += ActionsOfType<CheckHealth>(harness.Advance(50 * kMs)).size();
  EXPECT_EQ(health_checks, 1u);
}

// Guards against rejecting writes because the health check budget is spent while the primary is unknown. The
// members are tried in turn, once each, and the roles that they report are used for later writes.
TEST(Fleet, WriteFindsThePrimaryWithoutHealthChecks) {
  RouterHarness harness(FleetSettings());
  const auto checks = ActionsOfType<CheckHealth>(harness.Arrive(1, kFreshRead));  // spends the check budget
  ASSERT_EQ(checks.size(), 1u);
  harness.ReportHealthCheck(checks[0].server, 0, false);
  std::set<ServerId> tried_servers;
  auto to = SentTo(harness.Arrive(2, kNonIdempotentWrite), 2);
  while (to && *to != 3) {
    EXPECT_TRUE(tried_servers.insert(*to).second) << "tried twice: server " << *to;
    to = SentTo(harness.EndAttempt(2, *to, Status::kStaleOrWrongRole, Role::kReplica, harness.now_ms() - 10),
                2);
  }
  ASSERT_EQ(to, 3u);
  harness.EndAttempt(2, 3, Status::kOk, Role::kPrimary, harness.now_ms());
  EXPECT_EQ(SentTo(harness.Arrive(3, kNonIdempotentWrite), 3), 3u);
}

// Guards against bounded reads that wait for a health check that never comes. If servers check positions
// themselves, one read per server is sent before a position is known, and only one.
TEST(Fleet, ReadServesAsFreshnessCheckOfAReplica) {
  RouterHarness harness(FleetSettings());
  const auto first = SentTo(harness.Arrive(1, kBoundedRead), 1);
  const auto second = SentTo(harness.Arrive(2, kBoundedRead), 2);
  const auto third = SentTo(harness.Arrive(3, kBoundedRead), 3);
  ASSERT_TRUE(first && second && third);
  EXPECT_EQ((std::set<ServerId>{*first, *second, *third}).size(), 3u);
  EXPECT_FALSE(SentTo(harness.Arrive(4, kBoundedRead), 4));
  Settings off = FleetSettings();
  off.staleness_guard = StalenessGuard::kOff;
  RouterHarness unguarded(off);
  EXPECT_FALSE(SentTo(unguarded.Arrive(1, kBoundedRead), 1));
}

// Guards against a router that sends a slow replica tens of requests before it notices, because it uses it
// only once in seconds. One response after a silence counts for half, and an unconfirmed observation fades.
TEST(Fleet, OneLateResponseAfterASilenceAvoidsAServer) {
  RouterHarness harness(FleetSettings());
  const auto slow = SentTo(harness.Arrive(1, kAnyRead), 1);
  ASSERT_TRUE(slow);
  harness.Advance(390 * kMs);
  harness.EndAttempt(1, *slow, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 390 * kMs);
  int sends_to_slow = 0;
  for (RequestId id = 2; id < 12; ++id) {
    const auto to = SentTo(harness.Arrive(id, kAnyRead), id);
    if (!to) continue;  // the read was shed
    sends_to_slow += *to == *slow;
    harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 60 * kMs);
  }
  EXPECT_EQ(sends_to_slow, 0);
  // Once the other servers are gone, the slow one is used again.
  for (const ServerId other : {1u, 2u, 3u}) {
    EndpointEntry gone = ReadyEntry(other);
    gone.state = ServerState::kGone;
    if (other != *slow) harness.UpdateList(EndpointListKind::kDelta, {gone});
  }
  harness.Advance(5 * kSecond);
  EXPECT_EQ(SentTo(harness.Arrive(20, kAnyRead), 20), *slow);
}

// Guards against an admitted share that stays low for minutes because too few responses arrive to raise it.
TEST(Fleet, AdmittedShareRecoversWithoutNewLateResponses) {
  RouterHarness harness(FleetSettings());
  for (RequestId id = 1; id <= 5; ++id) {
    harness.Advance(kSecond);
    if (const auto to = SentTo(harness.Arrive(id, kAnyRead), id))
      harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 390 * kMs);
  }
  harness.Advance(20 * kSecond);
  int sent = 0;
  for (RequestId id = 10; id < 20; ++id) {
    const auto to = SentTo(harness.Arrive(id, kAnyRead), id);
    sent += to.has_value();
    if (to)
      harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 20 * kMs);
  }
  EXPECT_GE(sent, 8);
}

// Guards against an overloaded group that rejects reads regardless of their priority.
TEST(Fleet, OverloadedGroupAdmitsHighPriorityReadsFirst) {
  Settings settings = FleetSettings();
  settings.classes[kSessionRead].priority_weight = 3;
  RouterHarness harness(settings);
  std::map<int, int> sent;
  for (RequestId id = 1; id <= 400; ++id) {
    harness.Advance(200 * kMs);
    const int class_index = id % 2 == 0 ? kAnyRead : kSessionRead;
    const auto to = SentTo(harness.Arrive(id, class_index), id);
    if (!to) continue;
    ++sent[class_index];
    // More than half of the responses are late, so that less than half of the reads are admitted.
    const Micros elapsed = id % 10 < 6 ? 390 * kMs : 20 * kMs;
    harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, elapsed);
  }
  EXPECT_GT(sent[kSessionRead], 2 * sent[kAnyRead]);
}

// Guards against rejecting reads after one early error with nearly all of their time left. Reads that time
// out at their objective can have no retry, yet they used to consume the retry budget of others.
TEST(Fleet, OnlyPossibleRetriesUseTheBudget) {
  RouterHarness harness(FleetSettings());
  std::vector<EndpointEntry> listed = {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4)};
  for (ServerId other = 11; other <= 16; ++other) listed.push_back(ReadyEntry(other, false, 1));
  harness.UpdateList(EndpointListKind::kCached, listed);
  std::map<RequestId, ServerId> in_flight;
  for (RequestId id = 1; id <= 6; ++id) {
    if (const auto to = SentTo(harness.Arrive(id, kAnyRead, 0, 1000 * kMs, 1), id)) in_flight[id] = *to;
  }
  ASSERT_GE(in_flight.size(), 4u);
  harness.Advance(400 * kMs);
  for (const auto& [id, to] : in_flight) {
    harness.EndAttempt(id, to, Status::kTimeout, Role::kUnknown, {}, -1, false, 400 * kMs);
  }
  auto to = SentTo(harness.Arrive(10, kAnyRead), 10);
  std::set<ServerId> tried_servers;
  while (to) {
    EXPECT_TRUE(tried_servers.insert(*to).second);
    to = SentTo(
        harness.EndAttempt(10, *to, Status::kError, Role::kReplica, harness.now_ms() - 5, -1, false, 4 * kMs),
        10);
  }
  EXPECT_EQ(tried_servers.size(), 3u);  // two retries, at 2/5 of the budget each; no server is left
}

// Guards against a read that is sent to one lagging replica after another, with a wait and a connection at
// each.
TEST(Fleet, ReadIsTriedAtThreeStaleReplicasAtMost) {
  RouterHarness harness(FleetSettings());
  harness.UpdateList(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4),
                                                 ReadyEntry(5), ReadyEntry(6)});
  auto to = SentTo(harness.Arrive(1, kBoundedRead), 1);
  int stale_rejections = 0;
  for (; to && stale_rejections < 10; ++stale_rejections) {
    harness.Advance(20 * kMs);
    const auto actions =
        harness.EndAttempt(1, *to, Status::kStaleOrWrongRole, Role::kReplica, harness.now_ms() - 900);
    to = SentTo(actions, 1);
    EXPECT_EQ(ActionsOfType<Reject>(actions).size(), to ? 0u : 1u);
  }
  EXPECT_EQ(stale_rejections, 3);
}

// Guards against connections from every router to every server: servers that responded recently are
// preferred.
TEST(Fleet, RouterPrefersServersWithOpenConnections) {
  RouterHarness harness(FleetSettings());
  harness.UpdateList(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2), ReadyEntry(3), ReadyEntry(4),
                                                 ReadyEntry(5), ReadyEntry(6)});
  std::set<ServerId> used_servers;
  for (RequestId id = 1; id <= 30; ++id) {
    harness.Advance(kSecond);
    const auto to = SentTo(harness.Arrive(id, kAnyRead), id);
    ASSERT_TRUE(to);
    used_servers.insert(*to);
    harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true,
                       (90 + id % 20) * kMs);
  }
  EXPECT_LE(used_servers.size(), 2u);
}

// The requests that 300 routers together send to a server that has just started, per tenth of a second.
// `skewed`: some routers get many times the traffic of others.
std::vector<int> SendsToStartingServer(bool skewed) {
  constexpr int kRouters = 300, kSteps = 180;
  constexpr double kQuotaPerSecond = 240, kOfferedPerSecond = 200;  // requests per second, for three servers
  Settings settings = FleetSettings();
  settings.tenants = {{"all", kQuotaPerSecond, 1}};
  settings.slow_start_fraction = 0.15;
  settings.slow_start_window = 18 * kSecond;
  settings.overload_window = 3 * kSecond;
  settings.overload_multiple = 3;
  std::vector<std::unique_ptr<RouterHarness>> routers;
  std::vector<double> weights;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<RouterHarness>(settings, static_cast<std::uint64_t>(i)));
    weights.push_back(skewed ? 1.0 / (1 + i % 30) : 1.0);
    EndpointEntry starting = ReadyEntry(3);
    starting.boot_time = routers.back()->now();
    EndpointEntry draining = ReadyEntry(2);
    draining.state = ServerState::kDraining;
    routers.back()->UpdateList(EndpointListKind::kDelta, {starting, draining});
    routers.back()->ReportHealthCheck(1, 0, true);  // the primary serves reads only if no replica can
  }
  std::mt19937 random(7);
  std::discrete_distribution<int> pick_router(weights.begin(), weights.end());
  std::vector<int> sent;
  RequestId next = 0;
  for (int step = 0; step < kSteps; ++step) {
    sent.push_back(0);
    std::vector<std::tuple<int, RequestId, ServerId>> in_flight;
    for (int i = 0; i < kOfferedPerSecond / 10; ++i) {
      const int router = pick_router(random);
      const RequestId id = ++next;
      const auto to = SentTo(routers[static_cast<std::size_t>(router)]->Arrive(id, kAnyRead), id);
      if (to) in_flight.emplace_back(router, id, *to);
    }
    for (const auto& router : routers) {
      for (const Send& send : ActionsOfType<Send>(router->Advance(60 * kMs))) sent.back() += send.server == 3;
    }
    for (const auto& [router, id, to] : in_flight) {
      sent.back() += to == 3;
      RouterHarness& harness = *routers[static_cast<std::size_t>(router)];
      harness.EndAttempt(id, to, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 60 * kMs);
    }
    for (const auto& router : routers) router->Advance(40 * kMs);
  }
  return sent;
}

// Guards against one request each from hundreds of routers adding up, and against a budget close to zero
// because each router sees little traffic. A warm server can serve an even share of the quota.
TEST(Fleet, ManyRoutersTogetherStayWithinSlowStart) {
  for (const bool skewed : {false, true}) {
    const std::vector<int> sent = SendsToStartingServer(skewed);
    for (std::size_t from = 0; from + 30 <= sent.size(); ++from) {
      const int window = std::accumulate(sent.begin() + static_cast<std::ptrdiff_t>(from),
                                         sent.begin() + static_cast<std::ptrdiff_t>(from) + 30, 0);
      const double capacity_share = 0.15 + 0.85 * static_cast<double>(from) / 180;
      const double capacity = 80 * 3 * capacity_share;  // requests per window
      EXPECT_LT(window, 2 * capacity) << skewed << " " << from;
      EXPECT_GT(window, from < 30 ? 0 : 0.35 * capacity) << skewed << " " << from;
    }
  }
}

// Guards against writes that are sent from replica to replica and rejected after eight misses while their
// primary is known and has only just started. They wait for it, and all routers together stay within the slow
// start limit.
TEST(Fleet, WritesWaitForAPrimaryInSlowStart) {
  constexpr int kRouters = 300;
  Settings settings = FleetSettings();
  settings.tenants = {{"all", 240, 1}};  // requests per second, for three servers
  settings.slow_start_fraction = 0.15;
  settings.slow_start_window = 18 * kSecond;
  settings.overload_window = 3 * kSecond;
  settings.overload_multiple = 3;
  int to_primary = 0, to_others = 0;
  for (int i = 0; i < kRouters; ++i) {
    RouterHarness harness(settings, static_cast<std::uint64_t>(i));
    // Uses up the health check budget.
    for (const CheckHealth& check : ActionsOfType<CheckHealth>(harness.Arrive(1, kFreshRead)))
      harness.ReportHealthCheck(check.server, 0, false);
    harness.ReportHealthCheck(1, 0, true);
    harness.EndAttempt(1, 1, Status::kOk, Role::kPrimary, harness.now_ms());
    EndpointEntry starting = ReadyEntry(1);
    starting.boot_time = harness.now();
    harness.UpdateList(EndpointListKind::kDelta, {starting});
    harness.Advance(900 * kMs);
    auto actions = harness.Arrive(2, kNonIdempotentWrite, 0, 5 * kSecond);
    const auto later = harness.Advance(2 * kSecond);
    actions.insert(actions.end(), later.begin(), later.end());
    for (const Send& s : ActionsOfType<Send>(actions)) ++(s.server == 1 ? to_primary : to_others);
  }
  EXPECT_EQ(to_others, 0);
  const double capacity = 80 * 3 * (0.15 + 0.85 * 1.5 / 18);  // requests in the first window
  EXPECT_GT(to_primary, 1.2 * capacity);
  EXPECT_LT(to_primary, 2.5 * capacity);
}

// Guards against avoiding a restarted server for what its previous process did.
TEST(Fleet, RestartResetsWhatIsKnownOfAServer) {
  RouterHarness harness;
  RequestId id = 0;
  std::optional<ServerId> to;
  while (to != 2u) {  // server 3 is avoided once it has a request in flight
    ++id;
    to = SentTo(harness.Arrive(id, kAnyRead), id);
    ASSERT_TRUE(to && id < 10);
  }
  harness.Advance(kSecond);
  harness.EndAttempt(id, 2, Status::kTimeout, Role::kUnknown, {}, -1, true, kSecond);
  if (id > 1) harness.EndAttempt(1, 3, Status::kOk, Role::kReplica, harness.now_ms() - 5, -1, true, 60 * kMs);
  harness.Advance(kMs);
  EXPECT_EQ(SentTo(harness.Arrive(id + 1, kAnyRead), id + 1), 3u);  // server 3 now has this request in flight
  EndpointEntry restarted = ReadyEntry(2);
  restarted.boot_time = harness.now();
  harness.UpdateList(EndpointListKind::kDelta, {restarted});
  EXPECT_EQ(SentTo(harness.Arrive(id + 2, kAnyRead), id + 2), 2u);
}

}  // namespace
}  // namespace tulipyoke
