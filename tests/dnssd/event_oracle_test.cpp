// Characterization test of the DNS-SD browser and its resolver selection. A seeded, scripted network runs in
// virtual time; every query sent and every event emitted goes into a 64-bit FNV-1a hash, which is compared
// with a constant. A change of a constant means that the observable behaviour has changed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/dnssd/message.hpp"
#include "src/dnssd/stub_resolver.hpp"
#include "src/dnssd/zone_browser.hpp"
#include "standins/dns_zone.hpp"

namespace tulipyoke::dnssd {
namespace {

using standins::DnsFault;
using standins::DnsZone;
using standins::Published;

constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kLabels = 30;  // of instances that come and go
constexpr const char* kZone = "derby.example.org";

// SplitMix64: the same numbers on every platform and with every standard library.
class RandomNumbers {
 public:
  explicit RandomNumbers(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Below(std::uint64_t limit) { return Next() % limit; }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }

 private:
  std::uint64_t Next() {
    std::uint64_t mixed = state_ += 0x9e3779b97f4a7c15u;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
  }

  std::uint64_t state_;
};

// FNV-1a over a byte stream in which every field is self-delimiting.
class EventHash {
 public:
  void AddText(std::string_view text) {
    AddNumber(text.size());
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
  }
  void AddNumber(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<unsigned char>(number >> shift));
  }
  void AddSigned(std::int64_t number) { AddNumber(static_cast<std::uint64_t>(number)); }
  template <typename Integer>
  void AddOptional(const std::optional<Integer>& value) {
    AddNumber(value ? 1 : 0);
    if (value) AddNumber(*value);
  }
  std::uint64_t value() const { return hash_; }

 private:
  void AddByte(unsigned char byte) { hash_ = (hash_ ^ byte) * 0x100000001b3u; }

  std::uint64_t hash_ = 0xcbf29ce484222325u;
};

// None is 0; an error is 1 more than its place in the enumeration.
std::uint64_t ErrorCode(const std::optional<QueryError>& error) {
  return error ? static_cast<std::uint64_t>(*error) + 1 : 0;
}

struct Scenario {
  BrowseMode mode = BrowseMode::kPoll;
  std::uint64_t seed = 0;
  Micros duration = 0;
  std::size_t initial_servers = 0;
  std::size_t instance_limit = 0;
};

// A browser, its resolvers and two name servers, driven by random events of one seed.
class ScriptedNetwork {
 public:
  explicit ScriptedNetwork(const Scenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        browser_(OptionsFor(scenario)),
        resolver_(ResolverOptions()) {
    std::vector<Published> servers;
    for (std::size_t i = 0; i < scenario.initial_servers; ++i) servers.push_back(RandomServer(i));
    for (DnsZone& zone : zones_) zone.Publish(servers);
    Schedule(now_ + kSecond / 2, [this] { ChangeSomething(); });
  }

  void Run() {
    const Micros end = now_ + scenario_.duration;
    for (;;) {
      Pump();
      hash_.AddSigned(browser_.NextDue());
      const Micros next = std::min(browser_.NextDue(), scheduled_.begin()->first);
      if (next > end) break;
      now_ = std::max(now_ + 1, next);
      while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
        const std::function<void()> action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
    }
    AddView();
    AddCounters();
  }
  std::uint64_t hash() const { return hash_.value(); }
  std::uint64_t events() const { return events_; }
  // Of all warnings; what each scenario covers.
  const std::set<std::string>& warnings() const { return warnings_; }
  std::vector<std::uint64_t> Counters() const {
    const BrowserCounters browser = browser_.counters();
    const StubResolverCounters& resolver = resolver_.counters();
    return {browser.polls,
            browser.accepted_lists,
            browser.stale_answers,
            browser.non_authoritative,
            browser.failed_queries,
            browser.rejected_records,
            browser.oversized_lists,
            browser.transfers,
            browser.failed_transfers,
            resolver.udp_queries,
            resolver.tcp_queries,
            resolver.timeouts,
            resolver.unreachable,
            resolver.refused,
            resolver.malformed,
            resolver.failovers};
  }

 private:
  static BrowserOptions OptionsFor(const Scenario& scenario) {
    BrowserOptions options;
    options.zone = kZone;
    options.site = "derby";
    options.mode = scenario.mode;
    options.max_instances = scenario.instance_limit;
    options.allowed_addresses = {AddressBlock("127.0.0.0/8"), AddressBlock("fd00::/8")};
    return options;
  }
  static StubResolverOptions ResolverOptions() {
    StubResolverOptions options;
    options.resolver_count = 2;
    return options;
  }
  void Schedule(Micros when, std::function<void()> action) { scheduled_.emplace(when, std::move(action)); }

  void Begin(std::string_view kind) {
    ++events_;
    hash_.AddText(kind);
    hash_.AddSigned(now_);
  }

  void Pump() {
    for (bool progressed = true; progressed;) {
      progressed = false;
      browser_.Tick(now_);
      for (const Query& query : browser_.TakeQueries()) {
        Begin("query");
        hash_.AddNumber(query.id);
        hash_.AddText(query.question.name);
        hash_.AddNumber(static_cast<std::uint64_t>(query.question.type));
        hash_.AddOptional(query.resolver);
        hash_.AddNumber(query.serial.value_or(0));
        resolver_.Submit(now_, query);
        progressed = true;
      }
      for (const Transmission& transmission : resolver_.TakeTransmissions()) Transmit(transmission);
      for (const QueryResult& result : resolver_.TakeResults()) {
        Begin("settled");
        hash_.AddNumber(result.query);
        hash_.AddNumber(result.resolver);
        hash_.AddNumber(ErrorCode(result.error));
        hash_.AddNumber(result.messages.size());
        browser_.OnResult(now_, result);
        progressed = true;
      }
      for (const std::size_t resolver : browser_.TakeStaleResolvers()) {
        Begin("distrusted");
        hash_.AddNumber(resolver);
        resolver_.MarkStale(now_, resolver);
      }
      for (const Warning& warning : browser_.TakeWarnings()) {
        Begin("remark");
        hash_.AddText(EventName(warning.kind));
        warnings_.insert(EventName(warning.kind));
        hash_.AddText(warning.text);
      }
      if (const std::optional<EndpointList> listing = browser_.TakeListing()) AddListing(*listing);
    }
    hash_.AddNumber(resolver_.PreferredResolver(now_));
    hash_.AddNumber(resolver_.pending());
  }

  void AddListing(const EndpointList& listing) {
    Begin("listing");
    hash_.AddNumber(listing.version);
    hash_.AddNumber(listing.complete ? 1 : 0);
    for (const ListedServer& server : listing.servers) AddServer(server);
  }
  void AddServer(const ListedServer& server) {
    hash_.AddText(server.id);
    hash_.AddText(server.address);
    hash_.AddText(server.zone);
    hash_.AddText(server.kind);
    hash_.AddSigned(server.group);
    hash_.AddNumber(static_cast<std::uint64_t>(server.state));
    hash_.AddText(std::to_string(server.capacity_hint));
    hash_.AddSigned(server.started_unix_ms);
    hash_.AddNumber(server.is_primary ? 1 : 0);
  }
  void AddView() {
    hash_.AddOptional(browser_.serial());
    hash_.AddNumber(browser_.instances());
    for (const InstanceView& instance : browser_.View()) {
      hash_.AddText(instance.name);
      hash_.AddText(instance.label);
      AddServer(instance.listed);
      hash_.AddNumber(instance.usable ? 1 : 0);
      hash_.AddText(instance.version);
      hash_.AddText(instance.fault ? ToText(*instance.fault) : "");
    }
  }
  void AddCounters() {
    for (const std::uint64_t count : Counters()) hash_.AddNumber(count);
  }

  void Transmit(const Transmission& transmission) {
    const bool stream = transmission.transport == Transport::kTcp;
    const auto id = static_cast<std::uint16_t>(transmission.query);
    const std::string query = EncodeQuery(id, transmission.question, transmission.serial);
    Begin("transmission");
    hash_.AddNumber(transmission.query);
    hash_.AddSigned(transmission.attempt);
    hash_.AddNumber(transmission.resolver);
    hash_.AddNumber(stream ? 1 : 0);
    hash_.AddSigned(transmission.deadline);
    hash_.AddText(query);
    Schedule(transmission.deadline, [this, transmission] { Fail(transmission, QueryError::kTimeout); });
    const bool unreachable = unreachable_[transmission.resolver];
    const Micros delay = 200 + static_cast<Micros>(random_.Below(20'000));
    if (unreachable && random_.OneIn(2)) {
      Schedule(now_ + delay, [this, transmission] { Fail(transmission, QueryError::kUnreachable); });
      return;
    }
    if (unreachable || random_.OneIn(40)) return;
    Schedule(now_ + delay,
             [this, transmission, id, query, delay] { Answer(transmission, id, query, delay); });
  }

  void Answer(const Transmission& transmission, std::uint16_t id, const std::string& query, Micros delay) {
    const bool stream = transmission.transport == Transport::kTcp;
    std::vector<Message> answers;
    bool unusable = false;
    for (const std::string& bytes : zones_[transmission.resolver].Answer(now_, query, stream)) {
      std::optional<Message> message = ParseMessage(bytes);
      const bool matches =
          message && message->id == id && message->response &&
          (message->question == transmission.question || (!message->question && !answers.empty()));
      unusable = unusable || !matches;
      if (matches) answers.push_back(std::move(*message));
    }
    if (answers.empty() && !(unusable && stream)) return;
    Schedule(now_ + delay, [this, transmission, unusable, answers = std::move(answers)] {
      if (unusable) return Fail(transmission, QueryError::kMalformed);
      resolver_.OnResponse(now_, transmission.query, transmission.attempt, answers);
    });
  }

  void Fail(const Transmission& transmission, QueryError trouble) {
    resolver_.OnFailure(now_, transmission.query, transmission.attempt, trouble);
  }

  Published RandomServer(std::size_t label) {
    static const std::vector<std::string> addresses = {"127.0.0.1", "127.0.0.1", "127.0.0.2", "fd00::7",
                                                       "10.1.2.3",  "224.0.0.1", "0.0.0.0"};
    static const std::vector<std::vector<std::string>> texts = {
        {},
        {"group=1", "size=2.5", "started=1700000000000"},
        {"state=terminating", "kind=std"},
        {"role=primary", "site=york", "version=4.2"},
        {"ID=shared-1", "unknown=1", "novalue"},
        {"id=shared-2", "txtvers=1"},
        {"txtvers=9"},
        {"group=many"},
        {"size=-1"},
        {"started=never"},
        {"state=odd"},
        {"role=odd"},
        {"kind=two words"}};
    const bool usual = !random_.OneIn(4);
    Published server;
    server.label = "s" + std::to_string(label);
    server.address = usual ? "127.0.0.1" : addresses[random_.Below(addresses.size())];
    server.port = random_.OneIn(30) ? 0 : static_cast<std::uint16_t>(7000 + random_.Below(4));
    server.text = usual ? texts[random_.Below(4)] : texts[random_.Below(texts.size())];
    server.ttl = static_cast<std::uint32_t>(random_.Below(15));
    if (random_.OneIn(5)) server.host = "shared" + std::to_string(random_.Below(3)) + "." + kZone + ".";
    return server;
  }

  void ChangeSomething() {
    Schedule(now_ + 20'000 + static_cast<Micros>(random_.Below(900'000)), [this] { ChangeSomething(); });
    const std::uint64_t choice = random_.Below(100);
    if (choice < 40) return PublishSome();
    if (choice < 65) return WithdrawSome();
    if (choice < 75) return BreakOne();
    if (choice < 80) return MakeOneUnreachable();
    if (choice < 85) return FreezeSecond();
    if (choice < 90) return AddOddRecord();
    if (choice < 93) return zones_[random_.Below(2)].SetAdditional(random_.OneIn(2));
    if (choice < 95) return SetSerialBack();
    if (choice < 97) return PublishMany();
    if (choice < 98) return WithdrawAll();
  }
  void PublishSome() {
    std::vector<Published> servers;
    const std::uint64_t count = 1 + random_.Below(3);
    const std::uint64_t first = random_.Below(kLabels);
    // Distinct labels: a zone takes each of them once in one change.
    for (std::uint64_t i = 0; i < count; ++i) servers.push_back(RandomServer((first + i) % kLabels));
    for (DnsZone& zone : zones_) zone.Publish(servers);
  }
  void WithdrawSome() {
    const std::vector<std::string> labels = {"s" + std::to_string(random_.Below(kLabels)),
                                             "s" + std::to_string(random_.Below(kLabels))};
    for (DnsZone& zone : zones_) zone.Withdraw(labels);
  }
  void BreakOne() {
    DnsZone& zone = zones_[random_.Below(2)];
    zone.SetFault(static_cast<DnsFault>(1 + random_.Below(11)));
    Schedule(now_ + static_cast<Micros>(random_.Below(4 * kSecond)),
             [&zone] { zone.SetFault(DnsFault::kNone); });
  }
  void MakeOneUnreachable() {
    const std::size_t server = random_.Below(2);
    unreachable_[server] = true;
    Schedule(now_ + static_cast<Micros>(random_.Below(5 * kSecond)),
             [this, server] { unreachable_[server] = false; });
  }
  void FreezeSecond() {
    zones_[1].Freeze(true);
    Schedule(now_ + static_cast<Micros>(random_.Below(6 * kSecond)), [this] { zones_[1].Freeze(false); });
  }
  void AddOddRecord() {
    const std::string browse = std::string("_readings._tcp.") + kZone + ".";
    const std::string instance = "s" + std::to_string(random_.Below(kLabels)) + "." + browse;
    const std::vector<std::string> records = {browse + " 3 IN PTR elsewhere.example.org.",
                                              browse + " 3 IN PTR " + instance,
                                              instance + " 3 IN SRV 0 0 0 .",
                                              instance + " 3 IN TXT \"group=2\"",
                                              instance + " 2 IN SRV 1 5 7009 host9." + kZone + ".",
                                              std::string("host9.") + kZone + ". 2 IN A 127.0.0.9"};
    const std::string& record = records[random_.Below(records.size())];
    for (DnsZone& zone : zones_) zone.AddRecord(record);
  }
  void SetSerialBack() {
    DnsZone& zone = zones_[random_.Below(2)];
    const std::uint32_t serial = zone.serial();
    zone.SetSerial(serial - std::min<std::uint32_t>(serial - 1, 3));
  }
  void PublishMany() {
    std::vector<Published> servers;
    std::vector<std::string> labels;
    for (std::size_t i = 100; i < 100 + scenario_.instance_limit; ++i) {
      servers.push_back(RandomServer(i));
      labels.push_back(servers.back().label);
    }
    for (DnsZone& zone : zones_) zone.Publish(servers);
    Schedule(now_ + 3 * kSecond, [this, labels] {
      for (DnsZone& zone : zones_) zone.Withdraw(labels);
    });
  }
  void WithdrawAll() {
    for (DnsZone& zone : zones_) zone.WithdrawAll();
  }

  Scenario scenario_;
  RandomNumbers random_;
  EventHash hash_;
  std::uint64_t events_ = 0;
  std::set<std::string> warnings_;
  Micros now_ = kSecond;
  std::multimap<Micros, std::function<void()>> scheduled_;
  std::vector<DnsZone> zones_ = MakeZones();
  std::vector<bool> unreachable_ = {false, false};
  ZoneBrowser browser_;
  StubResolver resolver_;

  static std::vector<DnsZone> MakeZones() {
    std::vector<DnsZone> zones;
    zones.emplace_back(kZone);
    zones.emplace_back(kZone);
    return zones;
  }
};

struct Expected {
  Scenario scenario;
  std::uint64_t events = 0;
  std::uint64_t hash = 0;
};

TEST(EventOracle, EveryQueryAndEventIsAsRecorded) {
  const std::vector<Expected> expectations = {
      {{BrowseMode::kPoll, 1, 60 * kSecond, 10, 60}, 6987, 11878469951574855382u},
      {{BrowseMode::kPoll, 2, 60 * kSecond, 20, 200}, 6492, 18077019196161120234u},
      {{BrowseMode::kSerial, 3, 60 * kSecond, 10, 60}, 6623, 5470752294859788008u},
      {{BrowseMode::kSerial, 4, 60 * kSecond, 20, 200}, 4714, 970424428264824779u},
      {{BrowseMode::kTransfer, 5, 120 * kSecond, 10, 60}, 4633, 14751536861218381958u},
      {{BrowseMode::kTransfer, 6, 120 * kSecond, 20, 200}, 9125, 15298605879677145892u},
      {{BrowseMode::kTransfer, 7, 20 * kSecond, 700, 900}, 389, 10041958696567981236u},
      {{BrowseMode::kSerial, 8, 10 * kSecond, 400, 600}, 18705, 14705729404090453814u},
  };
  std::set<std::string> warnings;
  std::vector<std::uint64_t> totals;
  for (const Expected& expected : expectations) {
    ScriptedNetwork network(expected.scenario);
    network.Run();
    warnings.insert(network.warnings().begin(), network.warnings().end());
    const std::vector<std::uint64_t> counters = network.Counters();
    totals.resize(counters.size());
    std::transform(totals.begin(), totals.end(), counters.begin(), totals.begin(), std::plus<>());
    EXPECT_EQ(network.events(), expected.events) << "seed " << expected.scenario.seed;
    EXPECT_EQ(network.hash(), expected.hash) << "seed " << expected.scenario.seed;
  }
  // Each kind of warning and each counter occurs: the scenarios reach every outcome.
  EXPECT_EQ(warnings.size(), 6u);
  EXPECT_EQ(std::count(totals.begin(), totals.end(), 0u), 0);
}

}  // namespace
}  // namespace tulipyoke::dnssd
