// Converts addresses from the configuration and from endpoint lists to socket endpoints.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_

#include <asio.hpp>
#include <stdexcept>
#include <string>

#include "src/config/config.hpp"

namespace tulipyoke::net {

// Parses `IP:port`. Throws std::runtime_error if `address` has another form. Host names are not resolved:
// there may be no resolver, and the event loop must not block on one.
inline asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const HostPort host_port = ParseHostPortOrThrow(address);
  std::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host_port.host, error);
  if (error) throw std::runtime_error("not an IP address: '" + host_port.host + "'");
  return {ip, host_port.port};
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_ENDPOINT_HPP_
