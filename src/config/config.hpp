// What the program is told at its start: $LB_CONFIG and the variables beside it.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/directory_config.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct Config {
  std::string name, listen, discovery;
  std::string operators;  // where the operators' door listens; empty: there is none
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  int sockets = 0;
  int accept_fd = -1;     // the clients' listening socket where the platform holds it; -1: it does not
  std::string temporary;  // a folder that all processes of this router share; empty: none is known
  EndpointList known;
  Settings settings;
  std::vector<std::string> zones, kinds;
  Micros connect_timeout = 0, idle_close = 0;
  std::size_t max_open = 0;
  DirectoryConfig directory;  // off: the registry alone
  bool log_json = false;      // log: {"form": "json"}
  bool trace = false;         // run --trace: a line for each step of each request
};

// Throws std::runtime_error in plain words.
Config ParseConfig(std::string_view text);
// As a start would find it: what must be there is, and addresses are some.
void CheckComplete(const Config& config);
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
HostPort SplitAddress(const std::string& address);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_HPP_
