#include "src/config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "src/config/json_object_reader.hpp"
#include "src/config/listing_json.hpp"
#include "src/config/settings.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

// Where the configuration says nothing: small enough for any machine.
constexpr std::size_t kDefaultMemoryMb = 192;
constexpr int kDefaultSockets = 1024;
constexpr int kLeastSockets = 32;
constexpr Micros kDefaultConnectTimeout = 250'000;
constexpr Micros kDefaultIdleClose = 15'000'000;

std::string PlainText(const Json& json) {
  if (json.is_string()) return json.get<std::string>();
  return json.is_null() ? "" : json.dump();
}

// Nested JSON to paths, as the table of settings wants them.
void Flatten(const std::string& path, const Json& json, SettingsTable& table) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) Flatten(prefix + name, value, table);
  } else if (json.is_array() && !json.empty() && json.front().is_object()) {
    table[prefix + "count"] = std::to_string(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) Flatten(prefix + std::to_string(i), json[i], table);
  } else if (json.is_array()) {
    std::string joined;
    for (const Json& item : json) joined += (joined.empty() ? "" : ",") + PlainText(item);
    table[path] = joined;
  } else {
    table[path] = PlainText(json);
  }
}

std::uint64_t ParseSeed(const Json& json) {
  if (json.is_number_unsigned()) return json.get<std::uint64_t>();
  const std::string text = json.get<std::string>();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error("seed is no hexadecimal number: " + text);
  }
  return seed;
}

std::vector<std::string> Names(const Json& json, const char* name) {
  const auto it = json.find(name);
  return it == json.end() ? std::vector<std::string>() : it->get<std::vector<std::string>>();
}

}  // namespace

Config ParseConfig(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::runtime_error("the configuration is not JSON");
  try {
    Config config;
    config.name = json.value("name", "");
    config.listen_address = json.value("listen", "");
    config.discovery_address = json.value("discovery", "");
    config.admin_address = json.value("operator", "");
    if (json.contains("seed")) config.seed = ParseSeed(json.at("seed"));
    const Json limits = json.value("limits", Json::object());
    config.memory_bytes =
        static_cast<std::size_t>(limits.value("memory_mb", static_cast<double>(kDefaultMemoryMb))) << 20;
    config.max_sockets = limits.value("sockets", kDefaultSockets);
    if (config.max_sockets < kLeastSockets) {
      throw std::runtime_error("limits.sockets is under " + std::to_string(kLeastSockets));
    }
    if (json.contains("known")) config.cached_listing = ListingFromJson(json.at("known"));
    const Json& settings = json.at("settings");
    SettingsTable table;
    Flatten("", settings, table);
    config.settings = SettingsFromTable(table);
    if (config.settings.classes.empty()) throw std::runtime_error("settings name no class of requests");
    config.failure_domains = Names(settings, "failure_domains");
    config.kinds = Names(settings, "kinds");
    const Json policy = settings.value("policy_limits", Json::object());
    config.connect_timeout = policy.value("connect_timeout", kDefaultConnectTimeout);
    config.idle_close = policy.value("idle_close", kDefaultIdleClose);
    config.max_open = static_cast<std::size_t>(std::max(0.0, policy.value("max_open", 0.0)));
    if (json.contains("membership")) {
      config.membership = ParseMembershipConfig(json.at("membership"), "membership", config.settings);
      // What the list last was is the registry's word; without it nobody would ever take it back.
      if (!config.membership.RegistryIndex()) config.cached_listing = Listing();
    }
    if (json.contains("log")) {
      JsonObjectReader log(json.at("log"), "log");
      config.log_json = log.Choice("form", {"text", "json"}, 0) == 1;
      log.Done();
    }
    return config;
  } catch (const Json::exception& error) {
    throw std::runtime_error(std::string("the configuration lacks something or has it in the wrong form: ") +
                             error.what());
  }
}

Config ReloadConfig() {
  const char* path = std::getenv("LB_CONFIG");
  if (!path || !*path) throw std::runtime_error("LB_CONFIG names no configuration file");
  return ParseConfig(ReadFile(path));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) throw std::runtime_error("cannot read " + path);
  return text.str();
}

void ValidateForStart(const Config& config) {
  ParseHostPort(config.listen_address);
  // The registry's address is wanted where the registry is a source.
  if (!config.membership.on() || config.membership.RegistryIndex()) ParseHostPort(config.discovery_address);
  if (!config.admin_address.empty()) ParseHostPort(config.admin_address);
}

Config LoadConfig() {
  Config config = ReloadConfig();
  const auto prevail = [](const char* name, std::string& value) {
    const char* given = std::getenv(name);
    if (given && *given) value = given;
  };
  prevail("LB_NAME", config.name);
  prevail("LB_LISTEN", config.listen_address);
  prevail("LB_DISCOVERY", config.discovery_address);
  prevail("LB_OPERATOR", config.admin_address);
  std::string held;
  prevail("LB_ACCEPT_FD", held);
  prevail("TMPDIR", config.shared_directory);
  if (!held.empty()) {
    int descriptor = 0;
    const auto [end, error] = std::from_chars(held.data(), held.data() + held.size(), descriptor);
    if (error != std::errc() || end != held.data() + held.size() || descriptor < 0) {
      throw std::runtime_error("LB_ACCEPT_FD is no descriptor: " + held);
    }
    config.accept_fd = descriptor;
  }
  ValidateForStart(config);
  return config;
}

HostPort ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  HostPort result;
  if (colon != std::string::npos && colon > 0) {
    result.host = address.substr(0, colon);
    const std::string port = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (error == std::errc() && end == port.data() + port.size()) return result;
  }
  throw std::runtime_error("not an address and port: '" + address + "'");
}

}  // namespace tulipyoke
