#include "src/config/membership_config.hpp"

#include <algorithm>
#include <set>

#include "src/config/config.hpp"
#include "src/config/json_object_reader.hpp"
#include "src/config/listing_json.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

constexpr double kHourMs = 3'600'000;
constexpr std::size_t kMostResolvers = 8;
constexpr std::size_t kMostSources = 32;
// A drained server stays listed for its last requests and the grace, and a little more.
constexpr Micros kLingerMargin = 1'000'000;

DnsSdSource DnsFrom(JsonObjectReader& object) {
  DnsSdSource dns;
  dns.zone.service = object.Text("service", dns.zone.service);
  dns.zone.zone = object.Text("zone");
  if (!dnssd::IsName(dns.zone.service)) object.Fail("service", "is no service such as _readings._tcp");
  if (!dnssd::IsName(dns.zone.service + "." + dns.zone.zone)) object.Fail("zone", "is no DNS name");
  dns.zone.site = object.Text("site", "");
  dns.zone.mode = static_cast<dnssd::Mode>(object.Choice("mode", {"poll", "serial", "transfer"}, 1));
  dns.zone.look = object.Millis("look_ms", dns.zone.look, 20, kHourMs);
  dns.zone.retry = object.Millis("retry_ms", std::min(dns.zone.retry, dns.zone.look), 20, kHourMs);
  dns.zone.refresh_fraction = object.Number("refresh_fraction", dns.zone.refresh_fraction, 0.1, 1);
  dns.zone.least_refresh = object.Millis("least_refresh_ms", dns.zone.least_refresh, 100, kHourMs);
  dns.zone.most_instances = object.Count("most_instances", dns.zone.most_instances, 1, 1'000'000);
  dns.zone.most_asks = object.Count("most_asks", dns.zone.most_asks, 1, 256);
  const std::vector<std::string> blocks = object.Texts("allow");
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    try {
      dns.zone.allowed.emplace_back(blocks[i]);
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
      ParseHostPort(dns.resolvers[i]);
    } catch (const std::runtime_error& error) {
      object.Fail("resolvers[" + std::to_string(i) + "]", error.what());
    }
  }
  dns.retries.resolvers = dns.resolvers.size();
  dns.retries.first_wait = object.Millis("wait_ms", dns.retries.first_wait, 10, 10'000);
  dns.retries.stream_wait = object.Millis("stream_wait_ms", dns.retries.stream_wait, 10, 60'000);
  dns.retries.most_tries = static_cast<int>(object.Count("tries", 3, 1, 10));
  return dns;
}

SourceConfig SourceFrom(const Json& json, const std::string& path) {
  JsonObjectReader object(json, path);
  SourceConfig source;
  source.kind =
      static_cast<SourceConfig::Kind>(object.Choice("type", {"registry", "static", "dns-sd"}, kMostSources));
  if (static_cast<std::size_t>(source.kind) == kMostSources) object.Fail("type", "is missing");
  if (source.kind == SourceConfig::Kind::kDnsSd) source.dns_sd = DnsFrom(object);
  if (source.kind == SourceConfig::Kind::kStatic) {
    const Json* members = object.Raw("members");
    if (!members || !members->is_array()) object.Fail("members", "must be a list of servers");
    source.static_listing = ListingFromJson(Json{{"revision", 1}, {"complete", true}, {"members", *members}});
    if (source.static_listing.servers.size() != members->size())
      object.Fail("members", "holds an entry that is none");
  }
  const char* usual = source.kind == SourceConfig::Kind::kDnsSd ? "" : "registry";
  source.name = object.Text("name", source.kind == SourceConfig::Kind::kStatic ? "static"
                                    : *usual                                   ? usual
                                                                               : source.dns_sd.zone.zone);
  object.Done();
  return source;
}

}  // namespace

std::optional<std::size_t> MembershipConfig::RegistryIndex() const {
  for (std::size_t i = 0; i < sources.size(); ++i) {
    if (sources[i].kind == SourceConfig::Kind::kRegistry) return i;
  }
  return std::nullopt;
}

MembershipConfig ParseMembershipConfig(const Json& json, const std::string& path, const Settings& settings) {
  JsonObjectReader object(json, path);
  MembershipConfig config;
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
  membership::Options& options = config.options;
  Micros longest = settings.drain_grace;
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  options.vanish.removal_delay = std::max(options.vanish.removal_delay, longest + kLingerMargin);
  if (settings.warm_after > 0) options.warm_up_time = settings.warm_after;
  options.vanish.removal_delay =
      object.Millis("linger_ms", options.vanish.removal_delay, static_cast<double>(longest) / 1e3, kHourMs);
  options.vanish.retention = object.Millis("memory_ms", options.vanish.retention, 0, 24 * kHourMs);
  options.max_servers = object.Count("most_servers", options.max_servers, 1, 1'000'000);
  JsonObjectReader flapping = object.Object("flapping");
  options.flap_damping.suppress_threshold =
      flapping.Number("hold_over", options.flap_damping.suppress_threshold, 1, 1000);
  options.flap_damping.reuse_threshold = flapping.Number("free_under", options.flap_damping.reuse_threshold,
                                                         0.01, options.flap_damping.suppress_threshold);
  options.flap_damping.max_penalty = flapping.Number("most", options.flap_damping.max_penalty,
                                                     options.flap_damping.suppress_threshold, 1000);
  options.flap_damping.half_life =
      flapping.Millis("half_life_ms", options.flap_damping.half_life, 100, kHourMs);
  flapping.Done();
  JsonObjectReader admission = object.Object("admission");
  options.admission.burst = admission.Number("burst", options.admission.burst, 1, 10'000);
  options.admission.rate_per_second =
      admission.Number("per_s", options.admission.rate_per_second, 0.01, 10'000);
  options.admission.min_in_service = admission.Count("needy", options.admission.min_in_service, 0, 1000);
  admission.Done();
  object.Done();
  return config;
}

}  // namespace tulipyoke
