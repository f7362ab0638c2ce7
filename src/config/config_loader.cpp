#include "src/config/config_loader.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "src/config/config.hpp"
#include "src/config/config_error.hpp"

namespace tulipyoke {
namespace {

constexpr const char* kConfigVariable = "LB_CONFIG";
constexpr const char* kDescriptorVariable = "LB_ACCEPT_FD";

// Returns an empty string if the variable is not set.
std::string EnvironmentValue(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

void OverrideFromEnvironment(const char* name, std::string& value) {
  std::string raw_value = EnvironmentValue(name);
  if (!raw_value.empty()) value = std::move(raw_value);
}

std::optional<int> InheritedDescriptor() {
  const std::string raw_value = EnvironmentValue(kDescriptorVariable);
  if (raw_value.empty()) return std::nullopt;
  int descriptor = 0;
  const char* const raw_value_end = raw_value.data() + raw_value.size();
  const auto [end, error] = std::from_chars(raw_value.data(), raw_value_end, descriptor);
  if (error != std::errc() || end != raw_value_end || descriptor < 0) {
    throw ConfigError(kDescriptorVariable, config_fault::InvalidDescriptor{raw_value});
  }
  return descriptor;
}

}  // namespace

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) throw ConfigError(path, config_fault::UnreadableFile{});
  return text.str();
}

Config LoadConfig() {
  Config config = ReloadConfig();
  OverrideFromEnvironment("LB_NAME", config.name);
  OverrideFromEnvironment("LB_LISTEN", config.listen_address);
  OverrideFromEnvironment("LB_DISCOVERY", config.discovery_address);
  OverrideFromEnvironment("LB_OPERATOR", config.admin_address);
  OverrideFromEnvironment("TMPDIR", config.shared_directory);
  config.accept_fd = InheritedDescriptor();
  ValidateForStart(config);
  return config;
}

Config ReloadConfig() {
  const std::string path = EnvironmentValue(kConfigVariable);
  if (path.empty()) throw ConfigError(kConfigVariable, config_fault::NoConfigFile{});
  return ParseConfig(ReadFile(path));
}

}  // namespace tulipyoke
