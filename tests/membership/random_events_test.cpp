// Checks invariants of Membership under random events.
#include <map>
#include <random>

#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

// For any sequence of announcements, a server in service is announced by at least one source and drained by
// none, and servers that no source announces are eventually erased.
TEST(MembershipRandomEvents, AServerInServiceIsAnnouncedAndNotDrained) {
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    Membership members(Options(), {"one", "two", "three"});
    std::map<std::string, ListedServer> published;
    std::vector<std::map<std::string, ServerState>> states_by_source(3);
    Micros now = kStart;
    const auto take_listings = [&] {
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
      const bool known = states_by_source[source].contains(id);
      ListedServer server = MakeServer(id, static_cast<std::int64_t>(random() % 3), "10.0.0.1:1", state);
      members.ApplyListing(now, source, {1, false, {server}});
      if (state != ServerState::kGone || known) states_by_source[source][id] = state;
      now += static_cast<Micros>(random() % 1'500'000);
      members.Tick(now);
      take_listings();
      for (const auto& [name, entry] : published) {
        if (entry.state != ServerState::kReady) continue;
        bool announced = false;
        for (const auto& states : states_by_source) {
          const auto state_entry = states.find(name);
          if (state_entry == states.end()) continue;
          announced = announced || state_entry->second == ServerState::kReady;
          EXPECT_NE(state_entry->second, ServerState::kDraining) << "seed " << seed << " step " << step;
        }
        EXPECT_TRUE(announced) << "seed " << seed << " step " << step;
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
