#include "src/config/config.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/config/config_error.hpp"
#include "src/config/json_object_reader.hpp"
#include "src/config/listing_json.hpp"
#include "src/config/settings.hpp"
#include "src/config/settings_json.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

// The defaults suit the smallest supported machine.
constexpr double kDefaultMemoryMb = 192;
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
constexpr int kDefaultSockets = 1024;
constexpr int kMinSockets = 32;
constexpr Micros kDefaultConnectTimeout = 250'000;
constexpr Micros kDefaultIdleClose = 15'000'000;

constexpr int kHexadecimal = 16;

std::uint64_t ParseSeed(const Json& json) {
  if (json.is_number_unsigned()) return json.get<std::uint64_t>();
  const std::string text = json.get<std::string>();
  const char* const text_end = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kHexadecimal);
  if (error != std::errc() || end != text_end) throw ConfigError("seed", config_fault::InvalidSeed{text});
  return seed;
}

std::vector<std::string> StringsOrEmpty(const Json& json, const char* name) {
  const auto it = json.find(name);
  return it == json.end() ? std::vector<std::string>() : it->get<std::vector<std::string>>();
}

void ParseIdentity(const Json& json, Config& config) {
  config.name = json.value("name", "");
  config.listen_address = json.value("listen", "");
  config.discovery_address = json.value("discovery", "");
  config.admin_address = json.value("operator", "");
  if (json.contains("seed")) config.seed = ParseSeed(json.at("seed"));
}

void ParseLimits(const Json& json, Config& config) {
  const Json limits = json.value("limits", Json::object());
  const auto memory_mb = static_cast<std::size_t>(limits.value("memory_mb", kDefaultMemoryMb));
  config.memory_bytes = memory_mb * kBytesPerMb;
  config.max_sockets = limits.value("sockets", kDefaultSockets);
  if (config.max_sockets < kMinSockets) {
    throw ConfigError("limits.sockets", config_fault::TooFewSockets{kMinSockets});
  }
}

void ParseCachedListing(const Json& json, Config& config) {
  if (!json.contains("known")) return;
  ListingResult result = ListingFromJson(json.at("known"));
  if (const auto* error = std::get_if<ListingError>(&result)) {
    throw ConfigError("known", config_fault::InvalidServerList{ToText(*error)});
  }
  config.cached_listing = std::get<EndpointList>(std::move(result));
}

void ParseSettings(const Json& json, Config& config) {
  const Json& settings = json.at("settings");
  config.settings = SettingsFromTable(TableFromJson(settings));
  if (config.settings.classes.empty()) throw ConfigError("settings", config_fault::NoRequestClass{});
  config.failure_domains = StringsOrEmpty(settings, "failure_domains");
  config.server_kinds = StringsOrEmpty(settings, "kinds");
  const Json policy = settings.value("policy_limits", Json::object());
  config.connect_timeout = policy.value("connect_timeout", kDefaultConnectTimeout);
  config.idle_timeout = policy.value("idle_close", kDefaultIdleClose);
  config.max_open = static_cast<std::size_t>(std::max(0.0, policy.value("max_open", 0.0)));
}

void ParseMembership(const Json& json, Config& config) {
  if (!json.contains("membership")) return;
  config.membership = ParseMembershipConfig(json.at("membership"), "membership", config.settings);
  // The cached listing came from the registry. Without the registry as a source, nothing would ever withdraw
  // its servers.
  if (!config.membership.RegistryIndex()) config.cached_listing = EndpointList();
}

void ParseLog(const Json& json, Config& config) {
  if (!json.contains("log")) return;
  JsonObjectReader log(json.at("log"), "log");
  config.log_json = log.GetChoice<bool>("form", {{"text", false}, {"json", true}}).value_or(false);
  log.RejectUnknownKeys();
}

}  // namespace

Config ParseConfig(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw ConfigError("", config_fault::NotJson{});
  try {
    Config config;
    ParseIdentity(json, config);
    ParseLimits(json, config);
    ParseCachedListing(json, config);
    ParseSettings(json, config);
    ParseMembership(json, config);
    ParseLog(json, config);
    return config;
  } catch (const Json::exception& error) {
    throw ConfigError("", config_fault::InvalidStructure{error.what()});
  }
}

void ValidateForStart(const Config& config) {
  ParseHostPortOrThrow(config.listen_address);
  const bool uses_registry = !config.membership.enabled() || config.membership.RegistryIndex();
  if (uses_registry) ParseHostPortOrThrow(config.discovery_address);
  if (!config.admin_address.empty()) ParseHostPortOrThrow(config.admin_address);
}

}  // namespace tulipyoke
