#include "src/config/directory_config.hpp"

#include <algorithm>
#include <set>

#include "src/config/checked.hpp"
#include "src/config/config.hpp"
#include "src/config/listing_json.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

constexpr double kHourMs = 3'600'000;
constexpr std::size_t kMostResolvers = 8;
constexpr std::size_t kMostSources = 32;
// A drained server stays listed for its last requests and the grace, and a little more.
constexpr Micros kLingerMargin = 1'000'000;

DnsSource DnsFrom(CheckedObject& object) {
  DnsSource dns;
  dns.zone.service = object.Text("service", dns.zone.service);
  dns.zone.zone = object.Text("zone");
  if (!dnssd::IsValidName(dns.zone.service)) object.Fail("service", "is no service such as _readings._tcp");
  if (!dnssd::IsValidName(dns.zone.service + "." + dns.zone.zone)) object.Fail("zone", "is no DNS name");
  dns.zone.site = object.Text("site", "");
  dns.zone.mode = static_cast<dnssd::BrowseMode>(object.Choice("mode", {"poll", "serial", "transfer"}, 1));
  dns.zone.poll_interval = object.Millis("look_ms", dns.zone.poll_interval, 20, kHourMs);
  dns.zone.retry_interval =
      object.Millis("retry_ms", std::min(dns.zone.retry_interval, dns.zone.poll_interval), 20, kHourMs);
  dns.zone.refresh_fraction = object.Number("refresh_fraction", dns.zone.refresh_fraction, 0.1, 1);
  dns.zone.min_refresh = object.Millis("least_refresh_ms", dns.zone.min_refresh, 100, kHourMs);
  dns.zone.max_instances = object.Count("most_instances", dns.zone.max_instances, 1, 1'000'000);
  dns.zone.max_concurrent_queries = object.Count("most_asks", dns.zone.max_concurrent_queries, 1, 256);
  const std::vector<std::string> blocks = object.Texts("allow");
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    try {
      dns.zone.allowed_addresses.emplace_back(blocks[i]);
    } catch (const std::invalid_argument& error) {
      object.Fail("allow[" + std::to_string(i) + "]", error.what());
    }
  }
  dns.resolvers = object.Texts("resolvers");
  if (dns.resolvers.empty() || dns.resolvers.size() > kMostResolvers) {
    object.Fail("resolvers", "must name 1 to " + std::to_string(kMostResolvers) + " addresses with ports");
  }
  for (std::size_t i = 0; i < dns.resolvers.size(); ++i) {
    try {
      SplitAddress(dns.resolvers[i]);
    } catch (const std::runtime_error& error) {
      object.Fail("resolvers[" + std::to_string(i) + "]", error.what());
    }
  }
  dns.retries.resolver_count = dns.resolvers.size();
  dns.retries.udp_timeout = object.Millis("wait_ms", dns.retries.udp_timeout, 10, 10'000);
  dns.retries.tcp_timeout = object.Millis("stream_wait_ms", dns.retries.tcp_timeout, 10, 60'000);
  dns.retries.max_attempts = static_cast<int>(object.Count("tries", 3, 1, 10));
  return dns;
}

SourceConfig SourceFrom(const Json& json, const std::string& path) {
  CheckedObject object(json, path);
  SourceConfig source;
  source.kind =
      static_cast<SourceConfig::Kind>(object.Choice("type", {"registry", "static", "dns-sd"}, kMostSources));
  if (static_cast<std::size_t>(source.kind) == kMostSources) object.Fail("type", "is missing");
  if (source.kind == SourceConfig::Kind::kDns) source.dns = DnsFrom(object);
  if (source.kind == SourceConfig::Kind::kStatic) {
    const Json* members = object.Raw("members");
    if (!members || !members->is_array()) object.Fail("members", "must be a list of servers");
    source.fixed = ListingFrom(Json{{"revision", 1}, {"complete", true}, {"members", *members}});
    if (source.fixed.servers.size() != members->size()) object.Fail("members", "holds an entry that is none");
  }
  const char* usual = source.kind == SourceConfig::Kind::kDns ? "" : "registry";
  source.name = object.Text("name", source.kind == SourceConfig::Kind::kStatic ? "static"
                                    : *usual                                   ? usual
                                                                               : source.dns.zone.zone);
  object.Done();
  return source;
}

}  // namespace

int DirectoryConfig::registry() const {
  for (std::size_t i = 0; i < sources.size(); ++i) {
    if (sources[i].kind == SourceConfig::Kind::kRegistry) return static_cast<int>(i);
  }
  return -1;
}

DirectoryConfig DirectoryFrom(const Json& json, const std::string& path, const Settings& settings) {
  CheckedObject object(json, path);
  DirectoryConfig config;
  std::set<std::string> names;
  bool registry = false;
  object.Each("sources", [&](const Json& item, const std::string& at) {
    config.sources.push_back(SourceFrom(item, at));
    const SourceConfig& source = config.sources.back();
    if (!names.insert(source.name).second)
      throw ConfigError(at + ".name", "names a source that is there already");
    if (source.kind == SourceConfig::Kind::kRegistry && std::exchange(registry, true)) {
      throw ConfigError(at + ".type", "is a second registry");
    }
  });
  if (config.sources.empty() || config.sources.size() > kMostSources) {
    object.Fail("sources", "must name 1 to " + std::to_string(kMostSources) + " sources");
  }
  membership::Options& options = config.membership;
  Micros longest = settings.drain_grace;
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  options.linger = std::max(options.linger, longest + kLingerMargin);
  if (settings.warm_after > 0) options.warm_after = settings.warm_after;
  options.linger = object.Millis("linger_ms", options.linger, static_cast<double>(longest) / 1e3, kHourMs);
  options.memory = object.Millis("memory_ms", options.memory, 0, 24 * kHourMs);
  options.most_servers = object.Count("most_servers", options.most_servers, 1, 1'000'000);
  CheckedObject flapping = object.Object("flapping");
  options.flapping.hold_over = flapping.Number("hold_over", options.flapping.hold_over, 1, 1000);
  options.flapping.free_under =
      flapping.Number("free_under", options.flapping.free_under, 0.01, options.flapping.hold_over);
  options.flapping.most = flapping.Number("most", options.flapping.most, options.flapping.hold_over, 1000);
  options.flapping.half_life = flapping.Millis("half_life_ms", options.flapping.half_life, 100, kHourMs);
  flapping.Done();
  CheckedObject admission = object.Object("admission");
  options.admission.burst = admission.Number("burst", options.admission.burst, 1, 10'000);
  options.admission.per_s = admission.Number("per_s", options.admission.per_s, 0.01, 10'000);
  options.admission.needy = admission.Count("needy", options.admission.needy, 0, 1000);
  admission.Done();
  object.Done();
  return config;
}

}  // namespace tulipyoke
