// What the program is told at its start: $LB_CONFIG and the variables beside it.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/membership_config.hpp"
#include "src/exchange/listing.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The complete configuration of the program.
struct Config {
  std::string name;               // of this instance
  std::string listen_address;     // where clients connect
  std::string discovery_address;  // of the platform's server registry
  std::string admin_address;      // of the operators' HTTP interface; empty: there is none
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  int max_sockets = 0;
  // The clients' listening socket where the platform holds it open.
  std::optional<int> accept_fd;
  std::string shared_directory;  // common to all processes of this router; empty: none is known
  Listing cached_listing;        // the servers as the registry last listed them
  Settings settings;
  std::vector<std::string> failure_domains;
  std::vector<std::string> kinds;  // of servers
  Micros connect_timeout = 0;
  Micros idle_close = 0;  // server connections that were idle for so long are closed
  std::size_t max_open = 0;
  MembershipConfig membership;  // off: the registry alone
  bool log_json = false;        // log: {"form": "json"}
  bool trace = false;           // run --trace: a line for each step of each request
};

// Throws std::runtime_error in plain words.
Config ParseConfig(std::string_view text);
// As a start would find it: what must be there is, and addresses are some.
void ValidateForStart(const Config& config);
std::string ReadFile(const std::string& path);
// Reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_OPERATOR prevail where they
// are set, and LB_ACCEPT_FD and TMPDIR are told nowhere else.
Config LoadConfig();
// Reads that file anew while the program runs. The variables are as old as the program, so that the file's
// word stands alone.
Config ReloadConfig();

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};
// Throws std::runtime_error where it is no address and port.
HostPort ParseHostPort(const std::string& address);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
