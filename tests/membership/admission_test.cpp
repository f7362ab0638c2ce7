// How new servers are admitted.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, ManyNewServersAreAdmittedAtTheConfiguredRate) {
  ApplyComplete(1, {ServerWith("warm-1", 1000), ServerWith("warm-2", 1000)});
  std::vector<ListedServer> all{ServerWith("warm-1", 1000), ServerWith("warm-2", 1000)};
  for (int i = 0; i < 200; ++i) all.push_back(ServerWith("cold-" + std::to_string(i), now_ / 1000));
  ApplyComplete(1, all);
  const AdmissionOptions pace;
  EXPECT_EQ(InService(), 2 + static_cast<std::size_t>(pace.burst));
  std::size_t before = InService();
  for (int second = 0; second < 60; ++second) {
    Advance(kSecond);
    EXPECT_LE(InService() - before, static_cast<std::size_t>(pace.rate_per_second) + 1);
    before = InService();
    EXPECT_TRUE(IsInService("warm-1"));
  }
  EXPECT_EQ(InService(), 202u);
}

// A group with no server in service does not wait behind one that has many.
TEST_F(MembershipTest, AGroupWithoutServersIsAdmittedFirst) {
  ApplyComplete(1, {ServerWith("warm", 1000)});
  std::vector<ListedServer> all{ServerWith("warm", 1000)};
  for (int i = 0; i < 50; ++i) all.push_back(ServerWith("a" + std::to_string(i), now_ / 1000));
  ListedServer lone = ServerWith("lone", now_ / 1000);
  lone.group = 7;
  all.push_back(lone);
  ApplyComplete(1, all);
  EXPECT_TRUE(IsInService("lone"));
}

TEST_F(MembershipTest, ServersOverTheLimitAreCountedAndIgnored) {
  Options options;
  options.max_servers = 3;
  Membership members(options, {"derby"});
  std::vector<ListedServer> all;
  for (int i = 0; i < 10; ++i) all.push_back(ServerWith("s" + std::to_string(i), 1000));
  members.ApplyListing(now_, 0, {1, true, all});
  EXPECT_EQ(members.size(), 3u);
  EXPECT_EQ(members.counters().over_limit, 7u);
}

}  // namespace
}  // namespace tulipyoke::membership
