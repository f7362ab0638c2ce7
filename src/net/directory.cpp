#include "src/net/directory.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

// Sockets for questions, over all zones: they come out of the descriptors that are kept back.
constexpr std::size_t kMostSockets = 32;
constexpr std::size_t kLeastAsks = 2;

std::vector<std::string> NamesOf(const DirectoryConfig& config) {
  std::vector<std::string> names;
  for (const SourceConfig& source : config.sources) names.push_back(source.name);
  return names;
}

}  // namespace

struct Directory::Zone {
  Zone(std::size_t source_index, const std::string& source_name, const DnsSource& dns, std::size_t most_asks)
      : source(source_index), name(source_name), browser(OptionsFor(dns, most_asks)), resolvers(dns.retries) {
    for (const std::string& address : dns.resolvers) endpoints.push_back(ToEndpoint(address));
  }
  static dnssd::ZoneOptions OptionsFor(const DnsSource& dns, std::size_t most_asks) {
    dnssd::ZoneOptions options = dns.zone;
    options.most_asks = std::min(options.most_asks, most_asks);
    return options;
  }

  std::size_t source;
  std::string name;
  dnssd::ZoneBrowser browser;
  dnssd::Resolvers resolvers;
  std::vector<asio::ip::tcp::endpoint> endpoints;
  std::map<std::pair<dnssd::AskId, int>, std::shared_ptr<DnsExchange>> out;  // leave when they end
};

Directory::Directory(asio::io_context& io, LoopClock& clock, const DirectoryConfig& config, Sink sink)
    : io_(io),
      clock_(clock),
      config_(config),
      sink_(std::move(sink)),
      membership_(config.membership, NamesOf(config)),
      timer_(io) {
  const auto is_dns = [](const SourceConfig& s) { return s.kind == SourceConfig::Kind::kDns; };
  const auto zones =
      static_cast<std::size_t>(std::count_if(config.sources.begin(), config.sources.end(), is_dns));
  for (std::size_t i = 0; i < config.sources.size(); ++i) {
    const SourceConfig& source = config.sources[i];
    if (source.kind == SourceConfig::Kind::kStatic) membership_.Heard(clock_.Now(), i, source.fixed);
    if (!is_dns(source)) continue;
    const std::size_t asks = std::max(kLeastAsks, kMostSockets / zones);
    zones_.push_back(std::make_unique<Zone>(i, source.name, source.dns, asks));
  }
  asio::post(io_, [this] { Pump(); });
}

Directory::~Directory() { Stop(); }

void Directory::Stop() {
  stopped_ = true;
  timer_.cancel();
  for (const auto& zone : zones_) {
    for (const auto& [key, exchange] : std::exchange(zone->out, {})) exchange->Drop();
  }
}

void Directory::Remember(const Listing& known) {
  membership_.Remember(clock_.Now(), static_cast<std::size_t>(config_.registry()), known);
}

void Directory::HeardRegistry(const Listing& listing) {
  const int registry = config_.registry();
  if (registry < 0) return;
  membership_.Heard(clock_.Now(), static_cast<std::size_t>(registry), listing);
  Pump();
}

void Directory::Pump() {
  if (stopped_) return;
  for (const auto& zone : zones_) {
    while (PumpZone(*zone)) {
    }
  }
  membership_.Tick(clock_.Now());
  if (const std::optional<Listing> listing = membership_.TakeListing()) sink_(*listing);
  std::optional<Micros> due = membership_.NextDue();
  for (const auto& zone : zones_) {
    const Micros next = zone->browser.NextDue();
    due = std::min(due.value_or(next), next);
  }
  if (!due || *due == std::numeric_limits<Micros>::max()) return;
  timer_.expires_at(clock_.ToSteady(std::max(*due, clock_.Now() + 1)));
  timer_.async_wait([this](std::error_code error) {
    if (!error) Pump();
  });
}

bool Directory::PumpZone(Zone& zone) {
  const Micros now = clock_.Now();
  zone.browser.Tick(now);
  bool moved = false;
  for (const dnssd::Ask& ask : zone.browser.TakeAsks()) {
    zone.resolvers.Ask(now, ask.id, ask.question, ask.at, ask.serial);
    moved = true;
  }
  for (const dnssd::Transmission& transmission : zone.resolvers.TakeTransmissions()) {
    Transmit(zone, transmission);
  }
  for (const dnssd::Settled& settled : zone.resolvers.TakeSettled()) {
    zone.browser.Settle(now, settled);
    moved = true;
  }
  for (const std::size_t resolver : zone.browser.TakeDistrusted()) zone.resolvers.Distrust(now, resolver);
  for (const dnssd::Remark& remark : zone.browser.TakeRemarks()) {
    LogWarning(remark.event, "zone " + zone.name + ": " + remark.text,
               {{"source", zone.name}, {"why", remark.text}});
  }
  if (const std::optional<Listing> listing = zone.browser.TakeListing()) {
    membership_.Heard(now, zone.source, *listing);
  }
  return moved;
}

void Directory::Transmit(Zone& zone, const dnssd::Transmission& transmission) {
  const std::pair key(transmission.ask, transmission.attempt);
  const auto exchange = std::make_shared<DnsExchange>(
      io_, counters_, transmission,
      [this, &zone, key](std::vector<dnssd::Message> messages, dnssd::Trouble trouble) {
        zone.out.erase(key);
        if (trouble == dnssd::Trouble::kNone)
          zone.resolvers.Answered(clock_.Now(), key.first, key.second, std::move(messages));
        else
          zone.resolvers.Failed(clock_.Now(), key.first, key.second, trouble);
        Pump();
      });
  zone.out[key] = exchange;
  exchange->Start(zone.endpoints[transmission.resolver], clock_.ToSteady(transmission.give_up));
}

std::vector<Directory::ZoneView> Directory::Zones() const {
  std::vector<ZoneView> views;
  for (const auto& zone : zones_) {
    views.push_back({zone->name, zone->browser.options().service + "." + zone->browser.options().zone,
                     zone->browser.serial(), zone->browser.counters(), zone->resolvers.counters(),
                     zone->browser.View()});
  }
  return views;
}

std::string ToText(const Directory& directory, Micros now) {
  std::ostringstream out;
  for (const Directory::ZoneView& zone : directory.Zones()) {
    out << "zone " << zone.zone << " source=" << zone.source
        << " serial=" << (zone.serial ? std::to_string(*zone.serial) : "unknown")
        << " instances=" << zone.instances.size() << " looks=" << zone.browser.looks
        << " told=" << zone.browser.told << " failed=" << zone.browser.failed
        << " old_copies=" << zone.browser.old_copies << " no_authority=" << zone.browser.no_authority
        << " bad_records=" << zone.browser.bad_records << " over=" << zone.browser.over
        << " transfers=" << zone.browser.transfers << " queries=" << zone.retries.sent
        << " streams=" << zone.retries.streams << " timeouts=" << zone.retries.timeouts
        << " switched=" << zone.retries.switched << "\n";
    for (const dnssd::InstanceView& instance : zone.instances) {
      if (!instance.trouble.empty()) out << "  trouble " << instance.name << ": " << instance.trouble << "\n";
    }
  }
  const membership::Counters& c = directory.membership().counters();
  out << "membership servers=" << directory.membership().size() << " vanished=" << c.vanished
      << " returned=" << c.returned << " restarts=" << c.restarts << " moved=" << c.moved
      << " disagreed=" << c.disagreed << " held_down=" << c.held_down << " admitted=" << c.admitted
      << " over=" << c.over << "\n";
  for (const membership::ServerView& server : directory.membership().View()) {
    out << "server " << server.listed.id << " at " << server.listed.address
        << " group=" << server.listed.group << " site=" << server.listed.zone
        << " started=" << server.listed.started_unix_ms << " sources=";
    for (std::size_t i = 0; i < server.sources.size(); ++i) out << (i ? "," : "") << server.sources[i];
    out << " for=" << (now - server.since) / 1'000'000 << "s: " << membership::ToText(server.reason) << "\n";
  }
  return out.str();
}

}  // namespace tulipyoke::net
