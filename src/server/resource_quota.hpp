// What a process of the router may use of descriptors and memory, and how clients and servers share it.
#ifndef TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_
#define TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_

#include <cstddef>

#include "src/config/config.hpp"
#include "src/listener/client_listener.hpp"

namespace tulipyoke::net {

// Descriptors that are neither a client's nor a server's: standard streams, the event loop's own, the
// listening socket, discovery, and clients that are being rejected because all places are taken.
inline constexpr int kReservedDescriptors = 48;

// The share of the configured limits of a process that is the only one of its router.
inline constexpr double kFullShare = 1;

struct ResourceQuota {
  ListenerLimits clients;
  std::size_t server_connections = 0;
};

// The quota of a process that has `share` (0 to 1) of the configured limits. Raises the process's own limit
// of descriptors, as far as that may be, and keeps within it.
ResourceQuota QuotaFor(const Config& config, double share);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_RESOURCE_QUOTA_HPP_
