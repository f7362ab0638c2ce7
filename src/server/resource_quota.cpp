#include "src/server/resource_quota.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace tulipyoke::net {
namespace {

// Of the descriptors that are not the process's own: the share of clients' connections.
constexpr double kClientShare = 0.55;
// Of all descriptors: the share of clients with an open request. Clients may hold a third of the descriptors
// for requests; the rest of that third is for requests that come meanwhile.
constexpr double kOpenRequestShare = 0.2;
// One connection may have one part in so many of the open requests: many clients can send requests side by
// side.
constexpr std::size_t kPipelinedPart = 8;
// Of all descriptors: the share from which on idle clients are closed for new ones, well below that third.
constexpr double kKeptClientShare = 0.25;
// One part in so many of the memory is for clients' unread bytes, and as much again for their statements in
// flight.
constexpr std::size_t kBufferedPart = 8;
// Of the memory: the share of large statements.
constexpr double kLargeStatementShare = 0.375;

// The descriptors that this process can open, `configured` at the most.
int AvailableDescriptors(int configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  const auto wanted = static_cast<rlim_t>(configured);
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = limit.rlim_max == RLIM_INFINITY ? wanted : std::min(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  }
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, wanted));
}

}  // namespace

ResourceQuota QuotaFor(const Config& config, double share) {
  const int descriptors = static_cast<int>(share * AvailableDescriptors(config.max_sockets));
  // Where the limit is very low, half of it is left for connections all the same.
  const auto connections = static_cast<double>(std::max(descriptors - kOwnDescriptors, descriptors / 2));
  const auto memory_bytes = static_cast<std::size_t>(share * static_cast<double>(config.memory_bytes));
  const auto open_requests = static_cast<std::size_t>(kOpenRequestShare * share * config.max_sockets);
  const auto kept_clients = static_cast<std::size_t>(kKeptClientShare * config.max_sockets);

  ResourceQuota quota;
  quota.clients.max_clients = static_cast<std::size_t>(kClientShare * connections);
  quota.clients.max_open_requests = std::min(quota.clients.max_clients, open_requests);
  quota.clients.max_pipelined_requests =
      std::max<std::size_t>(1, quota.clients.max_open_requests / kPipelinedPart);
  quota.clients.eviction_threshold = std::min(quota.clients.max_clients, kept_clients);
  quota.clients.max_buffered_bytes = memory_bytes / kBufferedPart;
  quota.clients.large_statement_bytes =
      static_cast<std::size_t>(kLargeStatementShare * static_cast<double>(memory_bytes));
  quota.server_connections = static_cast<std::size_t>(connections) - quota.clients.max_clients;
  return quota;
}

}  // namespace tulipyoke::net
