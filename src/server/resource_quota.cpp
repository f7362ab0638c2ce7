#include "src/server/resource_quota.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace tulipyoke::net {
namespace {

// The share of client connections in the descriptors that remain after kReservedDescriptors.
constexpr double kClientDescriptorShare = 0.55;
// The limit of open requests as a share of all descriptors. Clients may hold a third of the descriptors for
// requests. The rest of that third is for requests that arrive in the meantime.
constexpr double kOpenRequestShare = 0.2;
// One connection may have at most the limit of open requests divided by this, so that many clients can send
// requests concurrently.
constexpr std::size_t kPipelineDivisor = 8;
// The number of clients from which idle ones are evicted for new ones, as a share of all descriptors. It is
// well below the third that clients may hold.
constexpr double kEvictionThresholdShare = 0.25;
// The memory divided by this is the limit for the unread bytes of all clients, and again for their statements
// in flight.
constexpr std::size_t kBufferDivisor = 8;
// The share of the memory for large statements.
constexpr double kLargeStatementShare = 0.375;

// Raises the soft limit on descriptors to `configured` if possible. Returns how many this process can open,
// at most `configured`.
int RaiseDescriptorLimit(int configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  const auto requested = static_cast<rlim_t>(configured);
  if (limit.rlim_cur < requested) {
    limit.rlim_cur = limit.rlim_max == RLIM_INFINITY ? requested : std::min(requested, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  }
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, requested));
}

}  // namespace

ResourceQuota QuotaFor(const Config& config, double share) {
  const int descriptors = static_cast<int>(share * RaiseDescriptorLimit(config.max_sockets));
  // If the limit is very low, half of it is still used for connections.
  const auto connections = static_cast<double>(std::max(descriptors - kReservedDescriptors, descriptors / 2));
  const auto memory_bytes = static_cast<std::size_t>(share * static_cast<double>(config.memory_bytes));
  const auto open_requests = static_cast<std::size_t>(kOpenRequestShare * share * config.max_sockets);
  const auto idle_eviction_clients = static_cast<std::size_t>(kEvictionThresholdShare * config.max_sockets);

  ResourceQuota quota;
  quota.clients.max_clients = static_cast<std::size_t>(kClientDescriptorShare * connections);
  quota.clients.max_open_requests = std::min(quota.clients.max_clients, open_requests);
  quota.clients.max_pipelined_requests =
      std::max<std::size_t>(1, quota.clients.max_open_requests / kPipelineDivisor);
  quota.clients.eviction_threshold = std::min(quota.clients.max_clients, idle_eviction_clients);
  quota.clients.max_buffered_bytes = memory_bytes / kBufferDivisor;
  quota.clients.large_statement_bytes =
      static_cast<std::size_t>(kLargeStatementShare * static_cast<double>(memory_bytes));
  quota.server_connections = static_cast<std::size_t>(connections) - quota.clients.max_clients;
  return quota;
}

}  // namespace tulipyoke::net
