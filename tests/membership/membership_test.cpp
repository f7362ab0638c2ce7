// One view of many sources: every decision, by a fake clock.
#include "src/membership/membership.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

namespace tulipyoke::membership {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'700'000'000 * kSecond;

ListedServer Server(const std::string& id, std::int64_t started_ms = 0,
                    const std::string& address = "10.0.0.1:1", ServerState state = ServerState::kReady) {
  ListedServer server;
  server.id = id;
  server.address = address;
  server.started_unix_ms = started_ms;
  server.state = state;
  return server;
}

// What the exchange would believe, told by the listings alone.
class MembershipTest : public testing::Test {
 protected:
  void Whole(std::size_t source, std::vector<ListedServer> servers) {
    members_.ApplyListing(now_, source, {1, true, std::move(servers)});
    Take();
  }
  void Change(std::size_t source, ListedServer server) {
    members_.ApplyListing(now_, source, {1, false, {std::move(server)}});
    Take();
  }
  void Vanish(std::size_t source, const std::string& id) {
    Change(source, Server(id, 0, "", ServerState::kGone));
  }
  // Runs what comes due on the way.
  void Pass(Micros time) {
    const Micros end = now_ + time;
    for (auto due = members_.NextDue(); due && *due <= end; due = members_.NextDue()) {
      now_ = std::max(now_ + 1, *due);
      members_.Tick(now_);
      Take();
    }
    now_ = end;
    members_.Tick(now_);
    Take();
  }
  void Take() {
    while (const std::optional<Listing> listing = members_.TakeListing()) {
      EXPECT_FALSE(listing->complete);
      for (const ListedServer& server : listing->servers) {
        if (server.state == ServerState::kGone) {
          EXPECT_EQ(published_.erase(server.id), 1u);
          ++gone_;
        } else {
          published_[server.id] = server;
        }
      }
    }
  }
  std::size_t Ready() const {
    std::size_t ready = 0;
    for (const auto& [id, server] : published_) ready += server.state == ServerState::kReady ? 1 : 0;
    return ready;
  }
  bool Serves(const std::string& id) const {
    const auto it = published_.find(id);
    return it != published_.end() && it->second.state == ServerState::kReady;
  }
  bool Drains(const std::string& id) const {
    const auto it = published_.find(id);
    return it != published_.end() && it->second.state == ServerState::kDraining;
  }

  Micros now_ = kStart;
  Membership members_{Options(), {"registry", "derby", "nottingham"}};
  std::map<std::string, ListedServer> published_;
  int gone_ = 0;
};

TEST_F(MembershipTest, AVanishedRecordIsADrainAtOnceAndGoneOnlyAfterItsRequests) {
  Whole(1, {Server("a"), Server("b")});
  ASSERT_TRUE(Serves("a"));
  Vanish(1, "a");
  EXPECT_TRUE(Drains("a"));
  Pass(9 * kSecond);
  EXPECT_TRUE(Drains("a")) << "what runs there is let finish";
  Pass(2 * kSecond);
  EXPECT_FALSE(published_.contains("a"));
  EXPECT_TRUE(Serves("b"));
  Pass(200 * kSecond);
  EXPECT_EQ(members_.size(), 1u);  // forgotten, in the end
}

TEST_F(MembershipTest, ItReturnsSoonAsTheSameProcessAndNobodyWaits) {
  Whole(1, {Server("a", 1000), Server("b", 1000)});
  for (const Micros away : {kSecond / 2, 3 * kSecond}) {
    Vanish(1, "a");
    Pass(away);
    Change(1, Server("a", 1000));
    ASSERT_TRUE(Serves("a"));
    EXPECT_EQ(published_.at("a").started_unix_ms, 1000);  // still warm
    Pass(60 * kSecond);
  }
  EXPECT_EQ(members_.counters().restarts, 0u);
  EXPECT_EQ(gone_, 0);
}

TEST_F(MembershipTest, ItReturnsWithANewerStartAndIsCold) {
  Whole(1, {Server("a", 1000), Server("b", 1000)});
  Vanish(1, "a");
  Pass(kSecond);
  const std::int64_t newer = now_ / 1000 - 100;
  Change(1, Server("a", newer));
  ASSERT_TRUE(Serves("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer);
  EXPECT_EQ(members_.counters().restarts, 1u);
  // An older word comes late: the process believed in is not older for it.
  Change(2, Server("a", 500));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer);
}

// Without a start time nothing shows that the process is the one that was there: in doubt it is cold.
TEST_F(MembershipTest, WithoutAStartTimeWhoeverReturnsIsCold) {
  Whole(1, {Server("a"), Server("b")});
  Vanish(1, "a");
  Pass(kSecond);
  Change(1, Server("a"));
  ASSERT_TRUE(Serves("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
}

// What the old place has shown must not be believed of the new one.
TEST_F(MembershipTest, AnotherAddressIsAnotherServerAndCold) {
  Whole(1, {Server("a", 1000, "10.0.0.1:1"), Server("b", 1000)});
  Change(1, Server("a", 1000, "10.0.0.2:1"));
  EXPECT_EQ(gone_, 1);  // the exchange forgets the former one and all that it showed
  ASSERT_TRUE(Serves("a"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
  EXPECT_EQ(members_.counters().moved, 1u);
}

TEST_F(MembershipTest, WhicheverSourceDrainsIsBelievedFirst) {
  const ListedServer draining = Server("a", 1000, "10.0.0.1:1", ServerState::kDraining);
  for (const std::size_t drains : {std::size_t{0}, std::size_t{1}}) {
    const std::size_t other = 1 - drains;
    Whole(drains, {Server("a", 1000), Server("b", 1000)});
    Whole(other, {Server("a", 1000), Server("b", 1000)});
    ASSERT_TRUE(Serves("a"));
    Change(drains, draining);
    EXPECT_TRUE(Drains("a"));
    Change(other, Server("a", 1000));  // says once more that it serves
    EXPECT_TRUE(Drains("a"));
    Change(drains, Server("a", 1000));
    EXPECT_TRUE(Serves("a"));
    Vanish(drains, "a");
    Change(other, Server("a", 1000));
    EXPECT_TRUE(Drains("a"));
    Pass(300 * kSecond);
    EXPECT_FALSE(published_.contains("a"))
        << "one source's silence about it holds for as long as the other names it";
    Change(drains, Server("a", 1000));
    Pass(5 * kSecond);
    EXPECT_TRUE(Serves("a"));
  }
  EXPECT_GE(members_.counters().conflicts, 4u);
}

TEST_F(MembershipTest, ANewerStartTimeOverridesAnotherSourcesVanishedRecord) {
  Whole(0, {Server("a", 1000), Server("b", 1000)});
  Whole(1, {Server("a", 1000), Server("b", 1000)});
  Vanish(1, "a");
  Pass(kSecond);
  EXPECT_TRUE(Drains("a"));
  Change(0, Server("a", now_ / 1000));
  EXPECT_TRUE(Serves("a"));
}

TEST_F(MembershipTest, TheFirstSourceSaysWhereAServerIs) {
  Whole(1, {Server("a", 1000, "10.0.0.2:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  Whole(0, {Server("a", 1000, "10.0.0.1:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
  Change(1, Server("a", 1000, "10.0.0.3:1"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
}

TEST_F(MembershipTest, ASourceThatIsDroppedDrainsWhomOnlyItNamed) {
  Whole(0, {Server("a", 1000)});
  Whole(1, {Server("a", 1000), Server("b", 1000)});
  members_.RemoveSource(now_, 1);
  Take();
  EXPECT_TRUE(Serves("a"));
  EXPECT_TRUE(Drains("b"));
}

TEST_F(MembershipTest, AFloodOfNewServersIsLetInAtAPaceAndTheWarmOnesServeOn) {
  Whole(1, {Server("warm-1", 1000), Server("warm-2", 1000)});
  std::vector<ListedServer> all{Server("warm-1", 1000), Server("warm-2", 1000)};
  for (int i = 0; i < 200; ++i) all.push_back(Server("cold-" + std::to_string(i), now_ / 1000));
  Whole(1, all);
  const AdmissionOptions pace;
  EXPECT_EQ(Ready(), 2 + static_cast<std::size_t>(pace.burst));
  std::size_t before = Ready();
  for (int second = 0; second < 60; ++second) {
    Pass(kSecond);
    EXPECT_LE(Ready() - before, static_cast<std::size_t>(pace.rate_per_second) + 1);
    before = Ready();
    EXPECT_TRUE(Serves("warm-1"));
  }
  EXPECT_EQ(Ready(), 202u);
}

// A set that has nobody left does not wait for its turn behind a set that has plenty.
TEST_F(MembershipTest, ASetWithoutMembersComesFirst) {
  Whole(1, {Server("warm", 1000)});
  std::vector<ListedServer> all{Server("warm", 1000)};
  for (int i = 0; i < 50; ++i) all.push_back(Server("a" + std::to_string(i), now_ / 1000));
  ListedServer lone = Server("lone", now_ / 1000);
  lone.group = 7;
  all.push_back(lone);
  Whole(1, all);
  EXPECT_TRUE(Serves("lone"));
}

TEST_F(MembershipTest, FlappingEverySecondIsHeldDownAndLeavesNothingBehind) {
  Whole(1, {Server("a", 1000), Server("b", 1000), Server("c", 1000)});
  int changes = 0;
  bool served = Serves("a");
  for (int second = 0; second < 60; ++second) {
    if (second % 2 == 0)
      Vanish(1, "a");
    else
      Change(1, Server("a", 1000));
    changes += served != Serves("a") ? 1 : 0;
    served = Serves("a");
    EXPECT_TRUE(Serves("b"));
    EXPECT_EQ(members_.size(), 3u);
    Pass(kSecond);
  }
  EXPECT_LE(changes, 12);
  EXPECT_EQ(members_.counters().suppressed, 1u);
  EXPECT_FALSE(Serves("a"));
  Pass(120 * kSecond);
  EXPECT_TRUE(Serves("a")) << "it is let back in when it has been steady";
}

// Where most of a set flap_history, the flapping is not the servers': holding them all down would end the
// service.
TEST_F(MembershipTest, HoldingDownNeverEmptiesASet) {
  const std::vector<ListedServer> all = {Server("a", 1000), Server("b", 1000), Server("c", 1000),
                                         Server("d", 1000)};
  Whole(1, all);
  for (int i = 0; i < 20; ++i) {
    Whole(1, {});
    Pass(kSecond);
    Whole(1, all);
    Pass(kSecond);
    EXPECT_GE(Ready(), 2u) << i;
  }
}

TEST_F(MembershipTest, MoreServersThanAreHeldAreCountedAndTheOthersStay) {
  Options options;
  options.max_servers = 3;
  Membership members(options, {"derby"});
  std::vector<ListedServer> all;
  for (int i = 0; i < 10; ++i) all.push_back(Server("s" + std::to_string(i), 1000));
  members.ApplyListing(now_, 0, {1, true, all});
  EXPECT_EQ(members.size(), 3u);
  EXPECT_EQ(members.counters().over_limit, 7u);
}

// Whatever the sources say in whatever order: who is told in service has no source that drains it, has one
// that names it, and nothing is kept for good of what nobody names.
TEST(MembershipRandom, NobodyServesAgainstASourcesWord) {
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    Membership members(Options(), {"one", "two", "three"});
    std::map<std::string, ListedServer> published;
    std::vector<std::map<std::string, ServerState>> said(3);
    Micros now = kStart;
    const auto take = [&] {
      while (const auto listing = members.TakeListing()) {
        for (const ListedServer& server : listing->servers) {
          if (server.state == ServerState::kGone)
            published.erase(server.id);
          else
            published[server.id] = server;
        }
      }
    };
    for (int step = 0; step < 400; ++step) {
      const std::size_t source = random() % 3;
      const std::string id(1, static_cast<char>('a' + random() % 6));
      const auto state = static_cast<ServerState>(random() % 3);
      const bool known = said[source].contains(id);
      ListedServer server = Server(id, static_cast<std::int64_t>(random() % 3), "10.0.0.1:1", state);
      members.ApplyListing(now, source, {1, false, {server}});
      if (state != ServerState::kGone || known) said[source][id] = state;
      now += static_cast<Micros>(random() % 1'500'000);
      members.Tick(now);
      take();
      for (const auto& [name, entry] : published) {
        if (entry.state != ServerState::kReady) continue;
        bool named = false;
        for (const auto& states : said) {
          const auto found = states.find(name);
          if (found == states.end()) continue;
          named = named || found->second == ServerState::kReady;
          EXPECT_NE(found->second, ServerState::kDraining) << "seed " << seed << " step " << step;
        }
        EXPECT_TRUE(named) << "seed " << seed << " step " << step;
      }
    }
    for (std::size_t source = 0; source < 3; ++source) members.ApplyListing(now, source, {1, true, {}});
    for (int i = 0; i < 400; ++i) members.Tick(now += kSecond);
    EXPECT_EQ(members.size(), 0u);
    EXPECT_FALSE(members.NextDue());
  }
}

}  // namespace
}  // namespace tulipyoke::membership
