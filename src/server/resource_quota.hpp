// The quota of descriptors and memory of one process, and its division between clients and servers.
#ifndef TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_
#define TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_

#include <cstddef>

#include "src/config/config.hpp"
#include "src/listener/client_listener.hpp"

namespace tulipyoke::net {

// Descriptors that are not used for clients or servers: standard streams, the event loop, the listening
// socket, discovery, and clients that are being rejected because the client limit is reached.
inline constexpr int kReservedDescriptors = 48;

// The share of the configured limits while only one process of the router runs.
inline constexpr double kFullShare = 1;

struct ResourceQuota {
  ListenerLimits clients;
  std::size_t server_connections = 0;
};

// Returns the quota of a process that may use `share` (0 to 1) of the configured limits. Raises the soft
// limit on open descriptors if necessary and permitted, and stays within it.
ResourceQuota QuotaFor(const Config& config, double share);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_
