// Addresses as they stand in the configuration and in lists of servers.
#ifndef TULIPYOKE_SRC_NET_ADDRESS_HPP_
#define TULIPYOKE_SRC_NET_ADDRESS_HPP_

#include <asio.hpp>
#include <stdexcept>
#include <string>

#include "src/config/config.hpp"

namespace tulipyoke::net {

// Throws std::runtime_error; names are not looked up, since there may be nobody to ask.
inline asio::ip::tcp::endpoint ToEndpoint(const std::string& address) {
  const HostPort parts = ParseHostPortOrThrow(address);
  std::error_code error;
  const asio::ip::address host = asio::ip::make_address(parts.host, error);
  if (error) throw std::runtime_error("not an IP address: '" + parts.host + "'");
  return {host, parts.port};
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_ADDRESS_HPP_
