#include "src/config/membership_config.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include "src/config/config_error.hpp"
#include "src/config/host_port.hpp"
#include "src/config/json_object_reader.hpp"
#include "src/config/listing_json.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

constexpr double kMicrosPerMillisecond = 1e3;
constexpr double kHourMs = 3'600'000;
constexpr std::size_t kMaxResolvers = 8;
constexpr std::size_t kMaxSources = 32;
constexpr std::size_t kMaxInstances = 1'000'000;
constexpr std::size_t kMaxServers = 1'000'000;
constexpr std::size_t kDefaultTries = 3;
// By default, a vanished server stays listed for at least this long beyond the maximum drain time.
constexpr Micros kRemovalMargin = 1'000'000;

void ParseZone(JsonObjectReader& object, DnsSdSource& dns) {
  dns.browser_options.service = object.GetString("service", dns.browser_options.service);
  dns.browser_options.zone = object.GetRequiredString("zone");
  if (!dnssd::IsValidName(dns.browser_options.service))
    object.Fail("service", config_fault::InvalidServiceName{});
  const std::string domain = dns.browser_options.service + "." + dns.browser_options.zone;
  if (!dnssd::IsValidName(domain)) object.Fail("zone", config_fault::InvalidDnsName{});
  dns.browser_options.site = object.GetString("site", "");
  dns.browser_options.mode =
      object
          .GetChoice<dnssd::BrowseMode>("mode", {{"poll", dnssd::BrowseMode::kPoll},
                                                 {"serial", dnssd::BrowseMode::kSerial},
                                                 {"transfer", dnssd::BrowseMode::kTransfer}})
          .value_or(dnssd::BrowseMode::kSerial);
  dns.browser_options.poll_interval =
      object.GetDuration("look_ms", dns.browser_options.poll_interval, 20, kHourMs);
  dns.browser_options.retry_interval = object.GetDuration(
      "retry_ms", std::min(dns.browser_options.retry_interval, dns.browser_options.poll_interval), 20,
      kHourMs);
  dns.browser_options.refresh_fraction =
      object.GetNumber("refresh_fraction", dns.browser_options.refresh_fraction, 0.1, 1);
  dns.browser_options.min_refresh =
      object.GetDuration("least_refresh_ms", dns.browser_options.min_refresh, 100, kHourMs);
  dns.browser_options.max_instances =
      object.GetCount("most_instances", dns.browser_options.max_instances, 1, kMaxInstances);
  dns.browser_options.max_concurrent_queries =
      object.GetCount("most_asks", dns.browser_options.max_concurrent_queries, 1, 256);
}

void ParseAllowedAddresses(JsonObjectReader& object, DnsSdSource& dns) {
  const std::vector<std::string> blocks = object.GetStrings("allow");
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    try {
      dns.browser_options.allowed_addresses.emplace_back(blocks[i]);
    } catch (const std::invalid_argument&) {
      object.Fail("allow[" + std::to_string(i) + "]", config_fault::InvalidAddressBlock{blocks[i]});
    }
  }
}

void ParseResolvers(JsonObjectReader& object, DnsSdSource& dns) {
  dns.resolvers = object.GetStrings("resolvers");
  if (dns.resolvers.empty() || dns.resolvers.size() > kMaxResolvers) {
    object.Fail("resolvers", config_fault::WrongLength{kMaxResolvers, "addresses with ports"});
  }
  for (std::size_t i = 0; i < dns.resolvers.size(); ++i) {
    const std::string& address = dns.resolvers[i];
    if (ParseHostPort(address)) continue;
    object.Fail("resolvers[" + std::to_string(i) + "]", config_fault::InvalidHostPort{address});
  }
  dns.resolver_options.resolver_count = dns.resolvers.size();
  dns.resolver_options.udp_timeout =
      object.GetDuration("wait_ms", dns.resolver_options.udp_timeout, 10, 10'000);
  dns.resolver_options.tcp_timeout =
      object.GetDuration("stream_wait_ms", dns.resolver_options.tcp_timeout, 10, 60'000);
  dns.resolver_options.max_attempts = static_cast<int>(object.GetCount("tries", kDefaultTries, 1, 10));
}

DnsSdSource ParseDnsSdSource(JsonObjectReader& object) {
  DnsSdSource dns;
  ParseZone(object, dns);
  ParseAllowedAddresses(object, dns);
  ParseResolvers(object, dns);
  return dns;
}

// Parses the static servers, which have the same format as the members of the registry's listings.
EndpointList ParseStaticMembers(JsonObjectReader& object) {
  const Json* members = object.Find("members");
  if (!members || !members->is_array())
    object.Fail("members", config_fault::WrongType{"an array of servers"});
  ListingResult result = ListingFromJson(Json{{"revision", 1}, {"complete", true}, {"members", *members}});
  if (const auto* error = std::get_if<ListingError>(&result)) {
    object.Fail("members", config_fault::InvalidServerList{ToText(*error)});
  }
  EndpointList listing = std::get<EndpointList>(std::move(result));
  if (listing.servers.size() != members->size()) object.Fail("members", config_fault::InvalidServerEntry{});
  return listing;
}

std::string DefaultName(const SourceConfig& source) {
  switch (source.kind) {
    case SourceConfig::Kind::kRegistry:
      return "registry";
    case SourceConfig::Kind::kStatic:
      return "static";
    case SourceConfig::Kind::kDnsSd:
      return source.dns_sd.browser_options.zone;
  }
  return "";
}

SourceConfig ParseSource(const Json& json, const std::string& path) {
  JsonObjectReader object(json, path);
  const std::optional<SourceConfig::Kind> kind =
      object.GetChoice<SourceConfig::Kind>("type", {{"registry", SourceConfig::Kind::kRegistry},
                                                    {"static", SourceConfig::Kind::kStatic},
                                                    {"dns-sd", SourceConfig::Kind::kDnsSd}});
  if (!kind) object.Fail("type", config_fault::MissingKey{});
  SourceConfig source;
  source.kind = *kind;
  if (source.kind == SourceConfig::Kind::kDnsSd) source.dns_sd = ParseDnsSdSource(object);
  if (source.kind == SourceConfig::Kind::kStatic) source.static_listing = ParseStaticMembers(object);
  source.name = object.GetString("name", DefaultName(source));
  object.RejectUnknownKeys();
  return source;
}

std::vector<SourceConfig> ParseSources(JsonObjectReader& object) {
  std::vector<SourceConfig> sources;
  std::set<std::string> names;
  bool has_registry = false;
  object.ForEach("sources", [&](const Json& item, const std::string& path) {
    SourceConfig source = ParseSource(item, path);
    if (!names.insert(source.name).second) throw ConfigError(path + ".name", config_fault::DuplicateSource{});
    if (source.kind == SourceConfig::Kind::kRegistry && std::exchange(has_registry, true)) {
      throw ConfigError(path + ".type", config_fault::DuplicateRegistry{});
    }
    sources.push_back(std::move(source));
  });
  if (sources.empty() || sources.size() > kMaxSources) {
    object.Fail("sources", config_fault::WrongLength{kMaxSources, "sources"});
  }
  return sources;
}

// Returns the longest time for which a request can still run on a draining server.
Micros MaxDrainTime(const Settings& settings) {
  Micros longest = settings.drain_timeout;
  for (const ClassSettings& request_class : settings.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  return longest;
}

void ParseVanishOptions(JsonObjectReader& object, Micros max_drain_time, membership::VanishOptions& vanish) {
  const Micros default_delay = std::max(vanish.removal_delay, max_drain_time + kRemovalMargin);
  const double min_delay_ms = static_cast<double>(max_drain_time) / kMicrosPerMillisecond;
  vanish.removal_delay = object.GetDuration("linger_ms", default_delay, min_delay_ms, kHourMs);
  vanish.retention = object.GetDuration("memory_ms", vanish.retention, 0, 24 * kHourMs);
}

void ParseFlapDamping(JsonObjectReader flapping, membership::FlapDampingOptions& options) {
  options.suppress_threshold = flapping.GetNumber("hold_over", options.suppress_threshold, 1, 1000);
  options.reuse_threshold =
      flapping.GetNumber("free_under", options.reuse_threshold, 0.01, options.suppress_threshold);
  options.max_penalty = flapping.GetNumber("most", options.max_penalty, options.suppress_threshold, 1000);
  options.half_life = flapping.GetDuration("half_life_ms", options.half_life, 100, kHourMs);
  flapping.RejectUnknownKeys();
}

void ParseAdmission(JsonObjectReader admission, membership::AdmissionOptions& options) {
  options.burst = admission.GetNumber("burst", options.burst, 1, 10'000);
  options.rate_per_second = admission.GetNumber("per_s", options.rate_per_second, 0.01, 10'000);
  options.min_in_service = admission.GetCount("needy", options.min_in_service, 0, 1000);
  admission.RejectUnknownKeys();
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
  config.sources = ParseSources(object);
  membership::Options& options = config.options;
  if (settings.slow_start_window > 0) options.warm_up_time = settings.slow_start_window;
  ParseVanishOptions(object, MaxDrainTime(settings), options.vanish);
  options.max_servers = object.GetCount("most_servers", options.max_servers, 1, kMaxServers);
  ParseFlapDamping(object.GetObject("flapping"), options.flap_damping);
  ParseAdmission(object.GetObject("admission"), options.admission);
  object.RejectUnknownKeys();
  return config;
}

}  // namespace tulipyoke
