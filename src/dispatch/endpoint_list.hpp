// The list of servers that service discovery reports, independent of the discovery protocol.
#ifndef TULIPYOKE_SRC_DISPATCH_ENDPOINT_LIST_HPP_
#define TULIPYOKE_SRC_DISPATCH_ENDPOINT_LIST_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct ListedServer {
  std::string id, address, zone, kind;
  int group = 0;
  ServerState state = ServerState::kGone;
  double capacity_hint = 1;
  std::int64_t started_unix_ms = 0;  // 0: unknown; treated as long ago
  bool is_primary = false;           // listed as the primary of its replica group

  bool operator==(const ListedServer&) const = default;
};

struct EndpointList {
  std::uint64_t version = 0;
  bool complete = false;  // lists all servers; otherwise only those that changed
  std::vector<ListedServer> servers;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_ENDPOINT_LIST_HPP_
