// Finds the configuration of the program: the document that the environment names, and single values that the
// environment sets. All functions throw ConfigError, or SettingsError for a wrong value under `settings`.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_

#include <string>

namespace tulipyoke {

struct Config;

// The content of a file.
std::string ReadFile(const std::string& path);
// For the start: reads the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_OPERATOR
// replace its values where they are set; the listening socket and the shared directory are given only by
// LB_ACCEPT_FD and TMPDIR. The result is valid for a start.
Config LoadConfig();
// For a reload: reads the same file alone, since the environment is as old as the process.
Config ReloadConfig();

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_LOADER_HPP_
