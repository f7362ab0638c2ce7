// The browser of DNS-SD zones on an emulated network, in virtual time, and its functions over bytes.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "src/dnssd/browser.hpp"
#include "src/dnssd/instance.hpp"
#include "src/dnssd/message.hpp"
#include "src/dnssd/zone_copy.hpp"
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

// What a listener of the browser believes.
class Browsing {
 public:
  explicit Browsing(
      Mode mode, std::vector<DnsZone*> servers,
      const std::function<void(ZoneOptions&)>& adjust = [](ZoneOptions&) {})
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
  static ZoneOptions Options(Mode mode, const std::function<void(ZoneOptions&)>& adjust) {
    ZoneOptions options;
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

class EveryMode : public testing::TestWithParam<Mode> {};
INSTANTIATE_TEST_SUITE_P(Modes, EveryMode, testing::Values(Mode::kPoll, Mode::kSerial, Mode::kTransfer));

TEST_P(EveryMode, LearnsOfWhatComesChangesAndGoes) {
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
  browsing.network.RunFor(20 * kSecond);  // in poll mode, the records' times to live
  EXPECT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
  EXPECT_TRUE(browsing.Has("c"));
  zone.WithdrawAll();
  browsing.network.RunFor(kSecond);
  EXPECT_TRUE(browsing.members.empty());
}

// A removal must be learnt well under the 2 s that a drain has.
TEST_P(EveryMode, LearnsOfARemovalWithinALookAndTwoAnswers) {
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

// Where the line is: silence and failure tell nothing, an empty answer with authority does.
TEST_P(EveryMode, WhatIsNoWordLeavesTheList) {
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
    browsing.network.RunFor(60 * kSecond);  // well past every time to live
    EXPECT_EQ(browsing.members.size(), 2u) << static_cast<int>(fault);
    const BrowserCounters& counters = browsing.network.browser.counters();
    // In transfer mode the answer to the zone's serial is all that is wanted of a plain question.
    const bool counted = counters.failed + counters.no_authority + counters.transfers_refused > 0;
    EXPECT_TRUE(counted) << static_cast<int>(fault);
    EXPECT_LT(zone.asked().size(), 1500u);  // no storm either
    zone.SetFault(DnsFault::kNone);
    browsing.network.RunFor(40 * kSecond);
    EXPECT_TRUE(browsing.members.empty()) << static_cast<int>(fault);
  }
}

TEST_P(EveryMode, AnOldCopyAndASerialThatGoesBackTellNothing) {
  DnsZone fresh(kZone), old(kZone);
  for (DnsZone* zone : {&fresh, &old}) zone->Publish({Server("a"), Server("b")});
  old.Freeze(true);
  fresh.Publish({Server("c")});
  fresh.Withdraw({"a"});
  Browsing browsing(GetParam(), {&fresh, &old});
  browsing.network.RunFor(2 * kSecond);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_TRUE(browsing.Has("c"));
  // The one with the news is cut off: the other one still answers, with what was.
  browsing.network.Cut(0, true);
  browsing.network.RunFor(30 * kSecond);
  EXPECT_FALSE(browsing.Has("a")) << "a drained server came back by an old copy";
  EXPECT_TRUE(browsing.Has("c"));
  EXPECT_GT(browsing.network.browser.counters().old_copies, 0u);
  browsing.network.Cut(0, false);
  fresh.Withdraw({"b"});
  browsing.network.RunFor(40 * kSecond);
  EXPECT_FALSE(browsing.Has("b"));
  fresh.SetSerial(1);
  fresh.WithdrawAll();
  fresh.SetSerial(1);
  browsing.network.RunFor(20 * kSecond);
  EXPECT_TRUE(browsing.Has("c"));
}

// A single record of an old copy is no news either, though nothing in it says how old it is.
TEST_P(EveryMode, ADrainedServerIsNotPutBackByAnOldCopysText) {
  DnsZone fresh(kZone), old(kZone);
  for (DnsZone* zone : {&fresh, &old}) zone->Publish({Server("a"), Server("b")});
  old.Freeze(true);
  fresh.Publish({Server("a", 7001, {"state=terminating"})});
  Browsing browsing(GetParam(), {&fresh, &old});
  browsing.network.RunFor(2 * kSecond);
  ASSERT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
  browsing.network.Cut(0, true);
  browsing.network.RunFor(40 * kSecond);
  EXPECT_EQ(browsing.members.at("a" + kEnd).state, ServerState::kDraining);
}

TEST_P(EveryMode, AnotherResolverIsAskedWhereOneIsSilent) {
  DnsZone first(kZone), second(kZone);
  for (DnsZone* zone : {&first, &second}) zone->Publish({Server("a"), Server("b")});
  Browsing browsing(GetParam(), {&first, &second});
  browsing.network.RunFor(kSecond);
  browsing.network.Cut(0, true);
  for (DnsZone* zone : {&first, &second}) zone->Withdraw({"a"});
  browsing.network.RunFor(1'900'000);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_TRUE(browsing.Has("b"));
  EXPECT_GT(browsing.network.resolvers.counters().switched, 0u);
}

TEST_P(EveryMode, BadRecordsKeepTheLastGoodOnesAndOthersAreUntouched) {
  DnsZone zone(kZone);
  zone.Publish({Server("a", 7001), Server("b", 7002)});
  Browsing browsing(GetParam(), {&zone},
                    [](ZoneOptions& options) { options.allowed = {AddressBlock("127.0.0.0/8")}; });
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
    EXPECT_GT(browsing.network.browser.counters().bad_records, counted);
    counted = browsing.network.browser.counters().bad_records;
    zone.Publish({Server("a", 7001)});
    browsing.network.RunFor(25 * kSecond);
  }
}

TEST_P(EveryMode, MoreInstancesThanAreHeldLeaveTheLastGoodList) {
  DnsZone zone(kZone);
  zone.Publish({Server("a"), Server("b")});
  Browsing browsing(GetParam(), {&zone}, [](ZoneOptions& options) { options.most_instances = 50; });
  browsing.network.RunFor(kSecond);
  std::vector<Published> flood;
  for (int i = 0; i < 60; ++i) flood.push_back(Server("f" + std::to_string(i)));
  zone.Publish(flood);
  browsing.network.RunFor(3 * kSecond);
  EXPECT_EQ(browsing.members.size(), 2u);
  EXPECT_GT(browsing.network.browser.counters().over + browsing.network.browser.counters().transfers_refused,
            0u);
}

TEST(Browser, NamesThatDifferInCaseAreOneAndLabelsMayHoldAnything) {
  DnsZone zone(kZone);
  zone.Publish({Server("ReadingS-1", 7001), Server("K\\195\\182ln\\.Nord\\032Wind", 7002)});
  Browsing browsing(Mode::kPoll, {&zone});
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

TEST(Browser, RecordsThatComeAlongAreNotAskedFor) {
  DnsZone zone(kZone);
  zone.SetAdditional(true);
  std::vector<Published> servers;
  for (int i = 0; i < 100; ++i) servers.push_back(Server("s" + std::to_string(i)));
  zone.Publish(servers);
  Browsing browsing(Mode::kSerial, {&zone});
  browsing.network.RunFor(400'000);
  EXPECT_EQ(browsing.members.size(), 100u);
  EXPECT_LE(zone.asked().size(), 4u);  // SOA, PTR, and PTR once more over TCP
}

TEST(Browser, ARefusedTransferIsMadeUpByQuestions) {
  DnsZone zone(kZone);
  zone.SetFault(DnsFault::kNoTransfer);
  zone.Publish({Server("a")});
  Browsing browsing(Mode::kTransfer, {&zone});
  browsing.network.RunFor(kSecond);
  EXPECT_TRUE(browsing.Has("a"));
  zone.Withdraw({"a"});
  browsing.network.RunFor(kSecond);
  EXPECT_FALSE(browsing.Has("a"));
  EXPECT_EQ(browsing.network.browser.counters().transfers, 0u);
}

TEST(Browser, TwoInstancesWithOneIdAreOneServerUntilItsOwnerGoes) {
  DnsZone zone(kZone);
  zone.Publish({Server("a", 7001, {"id=s-1"}), Server("b", 7002, {"id=s-1"})});
  Browsing browsing(Mode::kSerial, {&zone});
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 1u);
  EXPECT_EQ(browsing.members.at("s-1").address, "127.0.0.1:7001");
  EXPECT_GT(browsing.network.browser.counters().bad_records, 0u);
  zone.Withdraw({"a"});
  browsing.network.RunFor(kSecond);
  ASSERT_EQ(browsing.members.size(), 1u);
  EXPECT_EQ(browsing.members.at("s-1").address, "127.0.0.1:7002");
}

TEST(Browser, AWithdrawnServiceIsToldThoughItsPointerStays) {
  DnsZone zone(kZone);
  zone.Publish({Server("a")});
  Browsing browsing(Mode::kSerial, {&zone});
  browsing.network.RunFor(kSecond);
  ASSERT_TRUE(browsing.Has("a"));
  zone.Withdraw({"a"});
  zone.AddRecord("_readings._tcp.derby.example.org. 10 IN PTR a" + kEnd);
  zone.AddRecord("a" + kEnd + " 10 IN SRV 0 0 0 .");
  browsing.network.RunFor(3 * kSecond);
  EXPECT_FALSE(browsing.Has("a"));
}

TEST(Instance, TheChosenServiceIsTheSameForAllRouters) {
  const std::vector<ServiceData> services = {
      {1, 9, 1, "a."}, {0, 1, 2, "b."}, {0, 5, 3, "c."}, {0, 5, 3, "bb."}};
  EXPECT_EQ(ChooseService(services)->target, "bb.");
  EXPECT_FALSE(ChooseService({}));
}

TEST(Instance, TextKeysHaveDefaultsAndFaultsNameTheKey) {
  Attributes attributes;
  EXPECT_FALSE(
      ReadAttributes({{"GROUP=7", "group=8", "unknown=1", "novalue", "=x", "role=primary"}}, attributes));
  EXPECT_EQ(attributes.group, 7);  // the first mention, whatever its case
  EXPECT_TRUE(attributes.primary);
  EXPECT_EQ(attributes.size, 1);
  Attributes other;
  EXPECT_EQ(ReadAttributes({{"started=yesterday"}}, other)->key, "started");
  EXPECT_EQ(ReadAttributes({{"id=two words"}}, other)->key, "id");
  EXPECT_EQ(ReadAttributes({std::vector<std::string>(10, std::string(200, 'x'))}, other)->key, "TXT");
}

TEST(Instance, AddressBlocksHoldWhatTheySay) {
  const AddressBlock block("10.128.0.0/9"), v6("fd00::/8"), all("0.0.0.0/0");
  EXPECT_TRUE(block.Holds("10.128.0.1"));
  EXPECT_FALSE(block.Holds("10.127.255.255"));
  EXPECT_FALSE(block.Holds("fd00::1"));
  EXPECT_TRUE(v6.Holds("fd12::1"));
  EXPECT_TRUE(all.Holds("1.2.3.4"));
  for (const char* text : {"10.0.0.0", "10.0.0.0/33", "x/8", "10.0.0.0/"}) {
    EXPECT_THROW(AddressBlock{text}, std::invalid_argument) << text;
  }
}

std::string AnAnswer() {
  DnsZone zone(kZone);
  zone.SetAdditional(true);
  zone.Publish({Server("a", 7001, {"group=1"}), Server("b", 7002)});
  return zone.Answer(0, WriteQuery(7, {"_readings._tcp.derby.example.org.", RecordType::kPtr}), true).at(0);
}

// Bytes cut and changed at random, from fixed seeds: read or refused, nothing else.
TEST(Message, EveryCutAndRandomDamageIsReadOrRefused) {
  const std::string whole = AnAnswer();
  ASSERT_TRUE(ReadMessage(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) EXPECT_FALSE(ReadMessage(whole.substr(0, size)));
  int read = 0;
  for (unsigned seed = 0; seed < 3000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = whole;
    for (int i = 0; i < 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    read += ReadMessage(bytes) ? 1 : 0;
  }
  EXPECT_GT(read, 0);
  EXPECT_LT(read, 3000);
}

// A chain of pointers that ldns would follow for each of thousands of records.
TEST(Message, LongChainsOfPointersAreRefusedBeforeTheyAreFollowed) {
  std::string bytes = AnAnswer().substr(0, 12);
  bytes += std::string("\0\0\1\0\1", 5);  // the root, where all of them end
  std::size_t at = 12;
  while (bytes.size() < 16000) {
    const std::size_t here = bytes.size();
    bytes += static_cast<char>(0xc0 | (at >> 8));
    bytes += static_cast<char>(at & 0xff);
    at = here;
  }
  EXPECT_FALSE(ReadMessage(bytes));
}

TEST(Message, SerialsGoRound) {
  EXPECT_TRUE(SerialBefore(1, 2));
  EXPECT_FALSE(SerialBefore(2, 1));
  EXPECT_FALSE(SerialBefore(2, 2));
  EXPECT_TRUE(SerialBefore(0xfffffff0u, 5));
  EXPECT_FALSE(SerialBefore(5, 0xfffffff0u));
}

// Differences applied one by one and the whole zone give the same copy; what does not fit changes nothing.
TEST(ZoneCopy, DifferencesGiveWhatTheWholeZoneGives) {
  DnsZone zone(kZone);
  zone.Publish({Server("a"), Server("b")});
  const auto transfer = [&](RecordType type, std::uint32_t serial) {
    std::vector<Record> records;
    for (const std::string& bytes : zone.Answer(0, WriteQuery(1, {Canonical(kZone), type}, serial), true)) {
      const auto message = ReadMessage(bytes);
      records.insert(records.end(), message->answers.begin(), message->answers.end());
    }
    return records;
  };
  const Question browse{"_readings._tcp.derby.example.org.", RecordType::kPtr};
  ZoneCopy copy;
  ASSERT_TRUE(copy.Apply(transfer(RecordType::kAxfr, 0), 1000));
  std::mt19937 random(5);
  for (int round = 0; round < 60; ++round) {
    const std::string label = "r" + std::to_string(random() % 6);
    if (random() % 2 == 0)
      zone.Publish({Server(label, static_cast<std::uint16_t>(7000 + random() % 3))});
    else
      zone.Withdraw({label});
    if (random() % 3 == 0) continue;  // several at once
    const auto changed = copy.Apply(transfer(RecordType::kIxfr, copy.serial()), 1000);
    ASSERT_TRUE(changed) << round;
    ZoneCopy whole;
    ASSERT_TRUE(whole.Apply(transfer(RecordType::kAxfr, 0), 1000));
    EXPECT_EQ(copy.size(), whole.size());
    EXPECT_EQ(copy.Get(browse).size(), whole.Get(browse).size());
  }
  const std::uint32_t serial = copy.serial();
  zone.Publish({Server("last")});
  std::vector<Record> records = transfer(RecordType::kIxfr, copy.serial());
  records.erase(records.begin() + 1);  // the SOA of the copy that the differences are for
  EXPECT_FALSE(copy.Apply(records, 1000));
  EXPECT_FALSE(copy.Apply(transfer(RecordType::kAxfr, 0), 3));
  EXPECT_EQ(copy.serial(), serial);
}

}  // namespace
}  // namespace tulipyoke::dnssd
