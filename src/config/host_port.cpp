#include "src/config/host_port.hpp"

#include <charconv>

#include "src/config/config_error.hpp"

namespace tulipyoke {

std::optional<HostPort> ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  HostPort result;
  result.host = address.substr(0, colon);
  const char* const port = address.data() + colon + 1;
  const char* const address_end = address.data() + address.size();
  const auto [end, error] = std::from_chars(port, address_end, result.port);
  if (error != std::errc() || end != address_end) return std::nullopt;
  return result;
}

HostPort ParseHostPortOrThrow(const std::string& address) {
  std::optional<HostPort> result = ParseHostPort(address);
  if (!result) throw ConfigError("", config_fault::InvalidHostPort{address});
  return *std::move(result);
}

}  // namespace tulipyoke
