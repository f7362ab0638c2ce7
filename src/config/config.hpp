// The configuration of the program, as its document and the environment give it.
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
  std::string name;               // of this instance
  std::string listen_address;     // where clients connect
  std::string discovery_address;  // of the platform's server registry
  std::string admin_address;      // of the operators' HTTP interface; empty: there is none
  std::uint64_t seed = 0;         // of random choices
  std::size_t memory_bytes = 0;   // limit of the process
  int max_sockets = 0;            // limit of the process, over clients and servers
  // The clients' listening socket where the platform holds it open.
  std::optional<int> accept_fd;
  std::string shared_directory;  // common to all processes of this router; empty: none is known
  EndpointList cached_listing;   // the servers as the registry last listed them
  Settings settings;             // of the decision module
  std::vector<std::string> failure_domains;
  std::vector<std::string> server_kinds;  // of servers
  Micros connect_timeout = 0;             // for connections to servers
  Micros idle_timeout = 0;                // how long a connection to a server is kept idle
  std::size_t max_open = 0;               // parsed, but without effect at present
  MembershipConfig membership;            // off: the registry alone
  bool log_json = false;                  // log: {"form": "json"}
  bool trace = false;                     // run --trace: a line for each step of each request
};

// Parses the document. Throws ConfigError, or SettingsError for a wrong value under `settings`.
Config ParseConfig(std::string_view text);
// Checks what only a start needs: the addresses are there and valid. Throws ConfigError.
void ValidateForStart(const Config& config);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
