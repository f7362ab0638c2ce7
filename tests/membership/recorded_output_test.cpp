// Compares a hash of everything that Membership emits for a few thousand seeded random events with a recorded
// one. The events are announcements, complete listings, withdrawals, restarts, changes of address, drains,
// removed sources and clock ticks, from several sources. The hashes were recorded before the package was
// restructured; a change of behaviour changes them.
#include <gtest/gtest.h>

#include <bit>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/membership/membership.hpp"

namespace tulipyoke::membership {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'700'000'000 * kSecond;
constexpr int kEventCount = 4'000;
constexpr std::size_t kSourceCount = 4;

// The SplitMix64 generator, which gives the same sequence with every compiler and standard library.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15u;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
  }
  std::uint64_t Below(std::uint64_t limit) { return Next() % limit; }
  bool OneIn(std::uint64_t limit) { return Below(limit) == 0; }

 private:
  std::uint64_t state_;
};

// The 64-bit FNV-1a hash.
class Fnv1aHash {
 public:
  void Add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<unsigned char>(number >> shift));
  }
  void Add(std::string_view text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char byte : text) AddByte(static_cast<unsigned char>(byte));
  }
  void Add(const ListedServer& server) {
    Add(std::string_view(server.id));
    Add(std::string_view(server.address));
    Add(std::string_view(server.zone));
    Add(std::string_view(server.kind));
    Add(static_cast<std::uint64_t>(server.group));
    Add(static_cast<std::uint64_t>(server.state));
    Add(std::bit_cast<std::uint64_t>(server.capacity_hint));
    Add(static_cast<std::uint64_t>(server.started_unix_ms));
    Add(static_cast<std::uint64_t>(server.is_primary));
  }
  void Add(const EndpointList& listing) {
    Add(listing.version);
    Add(static_cast<std::uint64_t>(listing.complete));
    Add(static_cast<std::uint64_t>(listing.servers.size()));
    for (const ListedServer& server : listing.servers) Add(server);
  }
  void Add(const ServerView& view) {
    Add(view.listed);
    Add(std::string_view(ToText(view.status)));
    Add(static_cast<std::uint64_t>(view.sources.size()));
    for (const std::string& source : view.sources) Add(std::string_view(source));
    Add(static_cast<std::uint64_t>(view.since));
  }
  void Add(const Counters& counters) {
    for (const std::uint64_t count :
         {counters.vanished, counters.returned, counters.restarts, counters.moved, counters.conflicts,
          counters.suppressed, counters.admitted, counters.over_limit}) {
      Add(count);
    }
  }
  std::uint64_t value() const { return value_; }

 private:
  void AddByte(unsigned char byte) {
    value_ ^= byte;
    value_ *= 0x100000001b3u;
  }

  std::uint64_t value_ = 0xcbf29ce484222325u;
};

// Applies random events to one Membership and hashes its output after each.
class Scenario {
 public:
  Scenario(std::uint64_t seed, const Options& options, std::size_t server_count)
      : random_(seed),
        server_count_(server_count),
        membership_(options, {"registry", "derby", "nottingham", "static"}) {}

  std::uint64_t Run() {
    ApplyInitialListings();
    for (int event = 0; event < kEventCount; ++event) {
      ApplyRandomEvent();
      HashListings();
      if (event % 16 == 0) HashViewsAndCounters();
    }
    HashViewsAndCounters();
    return hash_.value();
  }
  const Counters& counters() const { return membership_.counters(); }

 private:
  void ApplyInitialListings() {
    membership_.RestoreListing(now_, 0, RandomListing(false));
    membership_.ApplyListing(now_, 1, RandomListing(true));
    HashListings();
  }

  void ApplyRandomEvent() {
    const std::size_t source = random_.Below(kSourceCount);
    switch (random_.Below(16)) {
      case 0:
        return membership_.ApplyListing(now_, source, RandomListing(true));
      case 1:
        return membership_.ApplyListing(now_, source, RandomListing(false));
      case 2:
      case 3:
        return FlapRandomServer(source);
      case 4:
      case 5:
        return SetRandomServerState(source, ServerState::kGone);
      case 6:
        return SetRandomServerState(source, ServerState::kDraining);
      case 7:
      case 8:
      case 9:
        return SetRandomServerState(source, ServerState::kReady);
      case 10:
        if (random_.OneIn(12)) membership_.RemoveSource(now_, source);
        return;
      case 11:
        return TickWhenDue();
      case 12:
        if (random_.OneIn(20)) AdvanceClock(150 * kSecond);
        return;
      case 13:
        return AdvanceClock(10 * kSecond);
      default:
        return AdvanceClock(kSecond);
    }
  }

  void AdvanceClock(Micros limit) {
    now_ += static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(limit)));
    membership_.Tick(now_);
  }

  void TickWhenDue() {
    const std::optional<Micros> due = membership_.NextDue();
    if (!due || *due > now_ + 60 * kSecond) return;
    if (*due > now_) now_ = *due;
    membership_.Tick(now_);
  }

  // Withdraws and announces one server several times in quick succession through the given source.
  void FlapRandomServer(std::size_t source) {
    const std::string id = RandomId();
    const std::uint64_t withdrawals = 1 + random_.Below(3);
    for (std::uint64_t withdrawal = 0; withdrawal < withdrawals; ++withdrawal) {
      membership_.ApplyListing(now_, source, {1, false, {RandomServer(id, ServerState::kReady)}});
      now_ += static_cast<Micros>(random_.Below(kSecond));
      membership_.ApplyListing(now_, source, {1, false, {RandomServer(id, ServerState::kGone)}});
      HashListings();
      now_ += static_cast<Micros>(random_.Below(kSecond));
    }
    membership_.ApplyListing(now_, source, {1, false, {RandomServer(id, ServerState::kReady)}});
  }

  void SetRandomServerState(std::size_t source, ServerState state) {
    membership_.ApplyListing(now_, source, {1, false, {RandomServer(RandomId(), state)}});
  }

  EndpointList RandomListing(bool complete) {
    EndpointList listing;
    listing.version = random_.Below(100);
    listing.complete = complete;
    for (std::size_t i = 0; i < server_count_; ++i) {
      if (random_.OneIn(complete ? 5 : 2)) continue;
      const ServerState state = random_.OneIn(10) ? ServerState::kDraining : ServerState::kReady;
      listing.servers.push_back(RandomServer(IdAt(i), state));
      if (random_.OneIn(30)) listing.servers.back().state = ServerState::kGone;
    }
    return listing;
  }

  static std::string IdAt(std::size_t index) { return "server-" + std::to_string(index); }
  std::string RandomId() { return IdAt(random_.Below(server_count_)); }

  ListedServer RandomServer(const std::string& id, ServerState state) {
    ListedServer server;
    server.id = id;
    server.address = "10.0.0." + std::to_string(random_.OneIn(25) ? 2 : 1) + ":5432";
    server.zone = random_.OneIn(2) ? "a" : "b";
    server.kind = random_.OneIn(4) ? "large" : "";
    // The group usually depends only on the id, but some records move a server to another group.
    server.group = static_cast<int>(random_.OneIn(40) ? random_.Below(3) : id.size() % 3);
    server.state = state;
    server.capacity_hint = 1.0 + static_cast<double>(random_.Below(4)) / 4.0;
    server.started_unix_ms = RandomStartMs();
    server.is_primary = random_.OneIn(8);
    return server;
  }

  std::int64_t RandomStartMs() {
    switch (random_.Below(12)) {
      case 0:
        return now_ / kMillisecond - static_cast<std::int64_t>(random_.Below(30'000));
      case 1:
      case 2:
      case 3:
        return 0;
      default:
        return 1'000;
    }
  }

  void HashListings() {
    while (const std::optional<EndpointList> listing = membership_.TakeListing()) hash_.Add(*listing);
    hash_.Add(static_cast<std::uint64_t>(membership_.NextDue().value_or(-1)));
    hash_.Add(static_cast<std::uint64_t>(membership_.size()));
  }
  void HashViewsAndCounters() {
    for (const ServerView& view : membership_.ServerViews()) hash_.Add(view);
    hash_.Add(membership_.counters());
  }

  SplitMix64 random_;
  std::size_t server_count_;
  Micros now_ = kStart;
  Membership membership_;
  Fnv1aHash hash_;
};

// Checks that the events reached each branch that the hash covers.
void ExpectAllCountersPositive(const Counters& counters) {
  EXPECT_GT(counters.vanished, 0u);
  EXPECT_GT(counters.returned, 0u);
  EXPECT_GT(counters.restarts, 0u);
  EXPECT_GT(counters.moved, 0u);
  EXPECT_GT(counters.conflicts, 0u);
  EXPECT_GT(counters.suppressed, 0u);
  EXPECT_GT(counters.admitted, 0u);
}

TEST(MembershipRecordedOutput, DefaultOptionsGiveTheRecordedOutput) {
  Scenario scenario(1, Options(), 24);
  EXPECT_EQ(scenario.Run(), 1219586400261755460u);
  ExpectAllCountersPositive(scenario.counters());
}

TEST(MembershipRecordedOutput, ManyServersAtALowAdmissionRateGiveTheRecordedOutput) {
  Options options;
  options.max_servers = 90;
  options.admission.burst = 2;
  options.admission.rate_per_second = 0.5;
  options.admission.min_in_service = 2;
  Scenario scenario(2, options, 120);
  EXPECT_EQ(scenario.Run(), 3310007285406696972u);
  ExpectAllCountersPositive(scenario.counters());
  EXPECT_GT(scenario.counters().over_limit, 0u);
}

TEST(MembershipRecordedOutput, EarlySuppressionAndShortRetentionGiveTheRecordedOutput) {
  Options options;
  options.vanish.removal_delay = 3 * kSecond;
  options.vanish.retention = 5 * kSecond;
  options.warm_up_time = 4 * kSecond;
  options.flap_damping.suppress_threshold = 1.5;
  options.flap_damping.reuse_threshold = 0.5;
  options.flap_damping.max_penalty = 4;
  options.flap_damping.half_life = 5 * kSecond;
  Scenario scenario(3, options, 9);
  EXPECT_EQ(scenario.Run(), 14901114532185568311u);
  ExpectAllCountersPositive(scenario.counters());
}

}  // namespace
}  // namespace tulipyoke::membership
