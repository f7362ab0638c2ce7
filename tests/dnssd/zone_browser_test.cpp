// The zone browser on an emulated network, in virtual time.
#include "src/dnssd/zone_browser.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "standins/dns_network.hpp"

namespace tulipyoke::dnssd {
namespace {

using standins::DnsFault;
using standins::DnsNetwork;
using standins::DnsZone;
using standins::Published;

constexpr Micros kSecond = 1'000'000;
constexpr const char* kZone = "derby.example.org";
const std::string kEnd = "._readings._tcp.derby.example.org.";

Published Server(const std::string& label, std::uint16_t port = 7001, std::vector<std::string> text = {}) {
  return {label, "127.0.0.1", port, std::move(text), 10, ""};
}

// A browser on an emulated network, and the list that its updates add up to.
class Browsing {
 public:
  explicit Browsing(
      BrowseMode mode, std::vector<DnsZone*> servers,
      const std::function<void(BrowserOptions&)>& adjust = [](BrowserOptions&) {})
      : network(Options(mode, adjust), std::move(servers), [this](Micros now, const EndpointList& listing) {
          ++listings;
          for (const ListedServer& server : listing.servers) {
            if (server.state == ServerState::kGone) {
              members.erase(server.id);
              gone_at[server.id] = now;
            } else {
              members[server.id] = server;
            }
          }
        }) {}
  static BrowserOptions Options(BrowseMode mode, const std::function<void(BrowserOptions&)>& adjust) {
    BrowserOptions options;
    options.zone = kZone;
    options.site = "derby";
    options.mode = mode;
    adjust(options);
    return options;
  }
  bool Has(const std::string& label) const { return members.contains(label + kEnd); }

  std::map<std::string, ListedServer> members;
  std::map<std::string, Micros> gone_at;
  int listings = 0;
  DnsNetwork network;
};

class EveryMode : public testing::TestWithParam<BrowseMode> {};
INSTANTIATE_TEST_SUITE_P(Modes, EveryMode,
                         testing::Values(BrowseMode::kPoll, BrowseMode::kSerial, BrowseMode::kTransfer));

TEST_P(EveryMode, ReportsAddedChangedAndRemovedServers) {
  DnsZone zone(kZone);
  zone.Publish(
      {Server("a", 7001, {"group=3", "kind=std", "size=2.5", "started=1700000000000"}), Server("b")});
  Browsing browsing(GetParam(), {&zone});
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 2u);
  EXPECT_EQ(browsing.listings, 1);  // the first list waits for all addresses
  const ListedServer& a = browsing.members.at("a" + kEnd);
  EXPECT_EQ(a.address, "127.0.0.1:7001");
  EXPECT_EQ(a.group, 3);
  EXPECT_EQ(a.kind, "std");
  EXPECT_EQ(a.capacity_hint, 2.5);
  EXPECT_EQ(a.started_unix_ms, 1700000000000);
  EXPECT_EQ(a.zone, "derby");
  EXPECT_EQ(a.state, ServerState::kReady);

  zone.Withdraw({"b"});
  browsing.network.RunFor(kSecond);
  EXPECT_FALSE(browsing.Has("b"));
  zone.Publish({Server("a", 7001, {"state=terminating"})});
  zone.Publish({Server("c", 7003)});
  browsing.network.RunFor(20 * kSecond);  // in poll mode, until the TTLs are over
  EXPECT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
  EXPECT_TRUE(browsing.Has("c"));
  zone.WithdrawAll();
  browsing.network.RunFor(kSecond);
  EXPECT_TRUE(browsing.members.empty());
}

// A removal must be reported well under the drain timeout of 2 s.
TEST_P(EveryMode, ReportsARemovalWithinOnePollAndTwoResponses) {
  DnsZone zone(kZone);
  std::vector<Published> servers;
  for (int i = 0; i < 40; ++i) servers.push_back(Server("s" + std::to_string(i)));
  zone.Publish(servers);
  Browsing browsing(GetParam(), {&zone});
  browsing.network.RunFor(2 * kSecond);
  ASSERT_EQ(browsing.members.size(), 40u);
  for (int i = 0; i < 20; ++i) {
    const std::string label = "s" + std::to_string(i);
    const Micros removed = browsing.network.now();
    zone.Withdraw({label});
    browsing.network.RunFor(700'000 + 37'000 * i);
    ASSERT_TRUE(browsing.gone_at.contains(label + kEnd)) << label;
    EXPECT_LE(browsing.gone_at.at(label + kEnd) - removed, 520'000);
  }
  EXPECT_EQ(browsing.members.size(), 20u);
}

// Failures prove nothing; an empty authoritative answer proves that the servers are gone.
TEST_P(EveryMode, FailedAndNonAuthoritativeAnswersKeepTheList) {
  for (const DnsFault fault : {DnsFault::kSilent, DnsFault::kServFail, DnsFault::kRefused, DnsFault::kWrongId,
                               DnsFault::kWrongQuestion, DnsFault::kGarbage, DnsFault::kLyingCount,
                               DnsFault::kLoop, DnsFault::kNoAuthority, DnsFault::kAlwaysTruncated}) {
    DnsZone zone(kZone);
    zone.Publish({Server("a"), Server("b")});
    Browsing browsing(GetParam(), {&zone});
    browsing.network.RunFor(kSecond);
    ASSERT_EQ(browsing.members.size(), 2u);
    zone.WithdrawAll();
    zone.SetFault(fault);
    browsing.network.RunFor(60 * kSecond);  // well past every TTL
    EXPECT_EQ(browsing.members.size(), 2u) << static_cast<int>(fault);
    const BrowserCounters& counters = browsing.network.browser.counters();
    // In transfer mode the only plain query is the one for the serial of the zone.
    const bool counted = counters.failed_queries + counters.non_authoritative + counters.failed_transfers > 0;
    EXPECT_TRUE(counted) << static_cast<int>(fault);
    EXPECT_LT(zone.queries().size(), 1500u);  // and the queries are limited in rate
    zone.SetFault(DnsFault::kNone);
    browsing.network.RunFor(40 * kSecond);
    EXPECT_TRUE(browsing.members.empty()) << static_cast<int>(fault);
  }
}

TEST_P(EveryMode, StaleCopiesAndDecreasingSerialsAreIgnored) {
  DnsZone fresh(kZone), old(kZone);
  for (DnsZone* zone : {&fresh, &old}) zone->Publish({Server("a"), Server("b")});
  old.Freeze(true);
  fresh.Publish({Server("c")});
  fresh.Withdraw({"a"});
  Browsing browsing(GetParam(), {&fresh, &old});
  browsing.network.RunFor(2 * kSecond);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_TRUE(browsing.Has("c"));
  // The current server is disconnected: the other one still answers, from its stale copy.
  browsing.network.SetDisconnected(0, true);
  browsing.network.RunFor(30 * kSecond);
  EXPECT_FALSE(browsing.Has("a")) << "a drained server came back by a stale copy";
  EXPECT_TRUE(browsing.Has("c"));
  EXPECT_GT(browsing.network.browser.counters().stale_answers, 0u);
  browsing.network.SetDisconnected(0, false);
  fresh.Withdraw({"b"});
  browsing.network.RunFor(40 * kSecond);
  EXPECT_FALSE(browsing.Has("b"));
  fresh.SetSerial(1);
  fresh.WithdrawAll();
  fresh.SetSerial(1);
  browsing.network.RunFor(20 * kSecond);
  EXPECT_TRUE(browsing.Has("c"));
}

// Nothing in a single TXT record says which zone copy it is from.
TEST_P(EveryMode, AStaleTxtRecordDoesNotUndrainAServer) {
  DnsZone fresh(kZone), old(kZone);
  for (DnsZone* zone : {&fresh, &old}) zone->Publish({Server("a"), Server("b")});
  old.Freeze(true);
  fresh.Publish({Server("a", 7001, {"state=terminating"})});
  Browsing browsing(GetParam(), {&fresh, &old});
  browsing.network.RunFor(2 * kSecond);
  ASSERT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
  browsing.network.SetDisconnected(0, true);
  browsing.network.RunFor(40 * kSecond);
  EXPECT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
}

TEST_P(EveryMode, FailsOverToAnotherResolver) {
  DnsZone first(kZone), second(kZone);
  for (DnsZone* zone : {&first, &second}) zone->Publish({Server("a"), Server("b")});
  Browsing browsing(GetParam(), {&first, &second});
  browsing.network.RunFor(kSecond);
  browsing.network.SetDisconnected(0, true);
  for (DnsZone* zone : {&first, &second}) zone->Withdraw({"a"});
  browsing.network.RunFor(1'900'000);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_TRUE(browsing.Has("b"));
  EXPECT_GT(browsing.network.resolver.counters().failovers, 0u);
}

TEST_P(EveryMode, InvalidRecordsKeepTheLastValidOnes) {
  DnsZone zone(kZone);
  zone.Publish({Server("a", 7001), Server("b", 7002)});
  Browsing browsing(GetParam(), {&zone}, [](BrowserOptions& options) {
    options.allowed_addresses = {AddressBlock("127.0.0.0/8")};
  });
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 2u);
  const ListedServer good = browsing.members.at("a" + kEnd);
  std::uint64_t counted = 0;
  const std::vector<Published> bad = {Server("a", 0),
                                      Server("a", 7001, {"group=many"}),
                                      Server("a", 7001, {"size=-1"}),
                                      Server("a", 7001, {"txtvers=9"}),
                                      Server("a", 7001, {"state=odd"}),
                                      Published{"a", "10.9.8.7", 7001, {}, 10, ""},
                                      Published{"a", "0.0.0.0", 7001, {}, 10, ""},
                                      Published{"a", "224.0.0.1", 7001, {}, 10, ""}};
  for (const Published& server : bad) {
    zone.Publish({server});
    browsing.network.RunFor(25 * kSecond);
    EXPECT_EQ(browsing.members.at("a" + kEnd), good);
    EXPECT_TRUE(browsing.Has("b"));
    EXPECT_GT(browsing.network.browser.counters().rejected_records, counted);
    counted = browsing.network.browser.counters().rejected_records;
    zone.Publish({Server("a", 7001)});
    browsing.network.RunFor(25 * kSecond);
  }
}

TEST_P(EveryMode, OversizedListsAreRejected) {
  DnsZone zone(kZone);
  zone.Publish({Server("a"), Server("b")});
  Browsing browsing(GetParam(), {&zone}, [](BrowserOptions& options) { options.max_instances = 50; });
  browsing.network.RunFor(kSecond);
  std::vector<Published> flood;
  for (int i = 0; i < 60; ++i) flood.push_back(Server("f" + std::to_string(i)));
  zone.Publish(flood);
  browsing.network.RunFor(3 * kSecond);
  EXPECT_EQ(browsing.members.size(), 2u);
  EXPECT_GT(browsing.network.browser.counters().oversized_lists +
                browsing.network.browser.counters().failed_transfers,
            0u);
}

TEST(ZoneBrowser, NamesAreCaseInsensitiveAndLabelsMayHoldAnyBytes) {
  DnsZone zone(kZone);
  zone.Publish({Server("ReadingS-1", 7001), Server("K\\195\\182ln\\.Nord\\032Wind", 7002)});
  Browsing browsing(BrowseMode::kPoll, {&zone});
  browsing.network.RunFor(kSecond);
  EXPECT_TRUE(browsing.Has("readings-1"));
  const auto view = browsing.network.browser.View();
  ASSERT_EQ(view.size(), 2u);
  EXPECT_EQ(view[0].label, "K\xc3\xb6ln.Nord Wind");
  EXPECT_TRUE(view[0].usable);
  const int listings = browsing.listings;
  zone.Publish({Server("READINGS-1", 7001)});
  browsing.network.RunFor(15 * kSecond);
  EXPECT_EQ(browsing.listings, listings);
}

TEST(ZoneBrowser, AdditionalRecordsAreNotQueried) {
  DnsZone zone(kZone);
  zone.SetAdditional(true);
  std::vector<Published> servers;
  for (int i = 0; i < 100; ++i) servers.push_back(Server("s" + std::to_string(i)));
  zone.Publish(servers);
  Browsing browsing(BrowseMode::kSerial, {&zone});
  browsing.network.RunFor(400'000);
  EXPECT_EQ(browsing.members.size(), 100u);
  EXPECT_LE(zone.queries().size(), 4u);  // SOA, PTR, and PTR once more over TCP
}

TEST(ZoneBrowser, FallsBackToQueriesWhereTransfersAreRefused) {
  DnsZone zone(kZone);
  zone.SetFault(DnsFault::kNoTransfer);
  zone.Publish({Server("a")});
  Browsing browsing(BrowseMode::kTransfer, {&zone});
  browsing.network.RunFor(kSecond);
  EXPECT_TRUE(browsing.Has("a"));
  zone.Withdraw({"a"});
  browsing.network.RunFor(kSecond);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_EQ(browsing.network.browser.counters().transfers, 0u);
}

TEST(ZoneBrowser, ADuplicateIdIsListedOnceUntilItsOwnerLeaves) {
  DnsZone zone(kZone);
  zone.Publish({Server("a", 7001, {"id=s-1"}), Server("b", 7002, {"id=s-1"})});
  Browsing browsing(BrowseMode::kSerial, {&zone});
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 1u);
  EXPECT_EQ(browsing.members.at("s-1").address, "127.0.0.1:7001");
  EXPECT_GT(browsing.network.browser.counters().rejected_records, 0u);
  zone.Withdraw({"a"});
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 1u);
  EXPECT_EQ(browsing.members.at("s-1").address, "127.0.0.1:7002");
}

TEST(ZoneBrowser, AnSrvRecordOfTheRootWithdrawsTheService) {
  DnsZone zone(kZone);
  zone.Publish({Server("a")});
  Browsing browsing(BrowseMode::kSerial, {&zone});
  browsing.network.RunFor(kSecond);
  ASSERT_TRUE(browsing.Has("a"));
  zone.Withdraw({"a"});
  zone.AddRecord("_readings._tcp.derby.example.org. 10 IN PTR a" + kEnd);
  zone.AddRecord("a" + kEnd + " 10 IN SRV 0 0 0 .");
  browsing.network.RunFor(3 * kSecond);
  EXPECT_FALSE(browsing.Has("a"));
}

}  // namespace
}  // namespace tulipyoke::dnssd
