// Parses addresses with ports, as the configuration and the lists of servers contain them.
#ifndef TULIPYOKE_SRC_CONFIG_HOST_PORT_HPP_
#define TULIPYOKE_SRC_CONFIG_HOST_PORT_HPP_

#include <cstdint>
#include <optional>
#include <string>

namespace tulipyoke {

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

// Splits "host:port" at the last colon. Returns nothing if there is no colon, the host is empty or the port
// is not a number up to 65535.
std::optional<HostPort> ParseHostPort(const std::string& address);
// Does the same, but throws ConfigError with an empty path if the address is invalid.
HostPort ParseHostPortOrThrow(const std::string& address);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_HOST_PORT_HPP_
