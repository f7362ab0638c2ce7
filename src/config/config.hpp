// The program's configuration, read from a JSON document and from environment variables.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/config_loader.hpp"
#include "src/config/host_port.hpp"
#include "src/config/membership_config.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The complete configuration of the program.
struct Config {
  std::string name;               // name of this router instance
  std::string listen_address;     // on which clients connect
  std::string discovery_address;  // address of the platform's server registry
  std::string admin_address;      // listen address of the operators' HTTP interface; empty: disabled
  std::uint64_t seed = 0;         // seed of the random number generators
  std::size_t memory_bytes = 0;   // memory limit of the process
  int max_sockets = 0;            // socket limit of the process, for clients and servers together
  // The listening socket for clients, if the platform holds it open.
  std::optional<int> accept_fd;
  std::string shared_directory;  // shared by all processes of this router; empty: unknown
  EndpointList cached_listing;   // the registry's last known listing
  Settings settings;             // settings of the decision module
  std::vector<std::string> failure_domains;
  std::vector<std::string> server_kinds;
  Micros connect_timeout = 0;   // for connecting to a server
  Micros idle_timeout = 0;      // after which an idle connection to a server is closed
  std::size_t max_open = 0;     // parsed, but currently unused
  MembershipConfig membership;  // not enabled: the registry is the only source
  bool log_json = false;        // from log: {"form": "json"}
  bool trace = false;           // set by run --trace: logs a line for each step of each request
};

// Parses a configuration document. Throws ConfigError, or SettingsError for an invalid `settings` value.
Config ParseConfig(std::string_view text);
// Checks that the addresses needed at startup are present and valid. Throws ConfigError.
void ValidateForStart(const Config& config);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
