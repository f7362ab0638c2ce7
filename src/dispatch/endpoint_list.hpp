// What service discovery reports about the servers, independent of the kind of discovery.
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
  std::int64_t started_unix_ms = 0;  // 0: long ago
  bool is_primary = false;           // listed as the primary of its group

  bool operator==(const ListedServer&) const = default;
};

struct EndpointList {
  std::uint64_t version = 0;
  bool complete = false;  // a snapshot of all servers; otherwise only the changed ones
  std::vector<ListedServer> servers;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_ENDPOINT_LIST_HPP_
