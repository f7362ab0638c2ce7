// Tests the admission of new servers by Membership.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, ManyNewServersAreAdmittedAtTheConfiguredRate) {
  ApplyCompleteListing(1, {MakeServer("warm-1", 1000), MakeServer("warm-2", 1000)});
  std::vector<ListedServer> servers{MakeServer("warm-1", 1000), MakeServer("warm-2", 1000)};
  for (int i = 0; i < 200; ++i) servers.push_back(MakeServer("cold-" + std::to_string(i), now_ / 1000));
  ApplyCompleteListing(1, servers);
  const AdmissionOptions defaults;
  EXPECT_EQ(InServiceCount(), 2 + static_cast<std::size_t>(defaults.burst));
  std::size_t before = InServiceCount();
  for (int second = 0; second < 60; ++second) {
    Advance(kSecond);
    EXPECT_LE(InServiceCount() - before, static_cast<std::size_t>(defaults.rate_per_second) + 1);
    before = InServiceCount();
    EXPECT_TRUE(IsInService("warm-1"));
  }
  EXPECT_EQ(InServiceCount(), 202u);
}

// A group without servers in service does not wait behind the queue of a group that has some.
TEST_F(MembershipTest, AGroupWithoutServersInServiceIsAdmittedFirst) {
  ApplyCompleteListing(1, {MakeServer("warm", 1000)});
  std::vector<ListedServer> servers{MakeServer("warm", 1000)};
  for (int i = 0; i < 50; ++i) servers.push_back(MakeServer("a" + std::to_string(i), now_ / 1000));
  ListedServer lone = MakeServer("lone", now_ / 1000);
  lone.group = 7;
  servers.push_back(lone);
  ApplyCompleteListing(1, servers);
  EXPECT_TRUE(IsInService("lone"));
}

TEST_F(MembershipTest, ServersOverTheLimitAreIgnoredAndCounted) {
  Options options;
  options.max_servers = 3;
  Membership members(options, {"derby"});
  std::vector<ListedServer> servers;
  for (int i = 0; i < 10; ++i) servers.push_back(MakeServer("s" + std::to_string(i), 1000));
  members.ApplyListing(now_, 0, {1, true, servers});
  EXPECT_EQ(members.size(), 3u);
  EXPECT_EQ(members.counters().over_limit, 7u);
}

}  // namespace
}  // namespace tulipyoke::membership
