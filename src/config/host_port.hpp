// Addresses with ports, as they are written in the configuration and in lists of servers.
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

// Splits "host:port" at the last colon. None if the host is empty or the port is not a number up to 65535.
std::optional<HostPort> ParseHostPort(const std::string& address);
// The same; throws ConfigError without a path where ParseHostPort gives none.
HostPort ParseHostPortOrThrow(const std::string& address);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_HOST_PORT_HPP_
