// Loads the program's configuration from the document that an environment variable names, and from further
// environment variables. All functions throw ConfigError, or SettingsError for an invalid `settings` value.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_

#include <string>

namespace tulipyoke {

struct Config;

// Returns the content of a file.
std::string ReadFile(const std::string& path);
// Loads the configuration at startup from the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and
// LB_OPERATOR override its values if they are set. The listening socket and the shared directory come only
// from LB_ACCEPT_FD and TMPDIR. The result has passed ValidateForStart.
Config LoadConfig();
// Reads only the file again, for a reload: the environment does not change while the process runs.
Config ReloadConfig();

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_
