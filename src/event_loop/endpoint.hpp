// Addresses as they stand in the configuration and in lists of servers, as endpoints of sockets.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_

#include <asio.hpp>
#include <stdexcept>
#include <string>

#include "src/config/config.hpp"

namespace tulipyoke::net {

// `address` is `IP:port`. Throws std::runtime_error where it is not. Host names are not resolved: there may
// be no resolver to ask, and the loop must not wait for one.
inline asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const HostPort parts = ParseHostPortOrThrow(address);
  std::error_code error;
  const asio::ip::address host = asio::ip::make_address(parts.host, error);
  if (error) throw std::runtime_error("not an IP address: '" + parts.host + "'");
  return {host, parts.port};
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_
