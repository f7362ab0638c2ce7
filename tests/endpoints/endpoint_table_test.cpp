// Tests of the servers and groups known from the endpoint list and from observed roles.
#include <gtest/gtest.h>

#include <vector>

#include "src/endpoints/warm_rates.hpp"
#include "tests/endpoints/endpoint_fixture.hpp"

namespace tulipyoke::endpoints {
namespace {

using EndpointTableTest = EndpointFixture;

TEST_F(EndpointTableTest, NewServerIsCheckedAndStartsSlowly) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true)});
  EXPECT_TRUE(actions_.empty());
  EXPECT_EQ(table_.At(1).slow_start_from, kNever);
  Apply(EndpointListKind::kDelta, {ReadyEntry(2)});
  ASSERT_EQ(ActionsOfType<CheckHealth>(actions_).size(), 1u);
  EXPECT_EQ(ActionsOfType<CheckHealth>(actions_)[0].server, 2u);
  EXPECT_EQ(table_.At(2).slow_start_from, now_);
  EXPECT_TRUE(IsWarm(context_, table_.At(1), now_));
  EXPECT_FALSE(IsWarm(context_, table_.At(2), now_));
}

TEST_F(EndpointTableTest, FullListClosesUnlistedServers) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2), ReadyEntry(3)});
  Apply(EndpointListKind::kFull, {ReadyEntry(1, true), EntryWithState(3, ServerState::kDraining)});
  EXPECT_TRUE(table_.At(1).open);
  EXPECT_FALSE(table_.At(2).open);
  EXPECT_FALSE(table_.At(3).open);
  EXPECT_EQ(table_.peak_open_count(), 3u);
  Apply(EndpointListKind::kDelta, {EntryWithState(9, ServerState::kGone)});
  EXPECT_EQ(table_.Find(9), nullptr);
}

TEST_F(EndpointTableTest, ObservedPrimaryOverridesListedPrimary) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2), ReadyEntry(3)});
  EXPECT_EQ(table_.GroupAt(0).primary, 1u);
  table_.ObserveRole(table_.At(3), Role::kPrimary, now_);
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(2), Role::kPrimary, now_ - kSecond);  // older than the observation of server 3
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(3), Role::kReplica, now_ - 1);  // older than the known role
  EXPECT_EQ(table_.GroupAt(0).primary, 3u);
  table_.ObserveRole(table_.At(3), Role::kReplica, now_ + 1);
  EXPECT_EQ(table_.GroupAt(0).primary, 2u);
}

TEST_F(EndpointTableTest, GoneServerIsRemovedOnceNothingIsInFlight) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2)});
  table_.UpdateLastOpenTimes(now_);
  Apply(EndpointListKind::kDelta,
        {EntryWithState(1, ServerState::kGone), EntryWithState(2, ServerState::kGone)});
  table_.At(2).in_flight.Add({.id = 7});
  table_.RemoveGoneServers(now_ + 2 * kSecond);
  EXPECT_NE(table_.Find(1), nullptr);
  table_.RemoveGoneServers(now_ + 2 * kSecond + 1);
  EXPECT_EQ(table_.Find(1), nullptr);
  EXPECT_NE(table_.Find(2), nullptr);
  EXPECT_EQ(table_.GroupAt(0).members, std::vector<ServerId>{2});
}

}  // namespace
}  // namespace tulipyoke::endpoints
