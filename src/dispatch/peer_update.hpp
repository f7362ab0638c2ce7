// The updates that two processes of a router exchange during a hot restart.
#ifndef TULIPYOKE_SRC_DISPATCH_PEER_UPDATE_HPP_
#define TULIPYOKE_SRC_DISPATCH_PEER_UPDATE_HPP_

#include <cstdint>
#include <string>
#include <variant>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The latest commit of a session.
struct SessionUpdate {
  std::uint64_t session_key = 0;  // 0: all sessions of the group without an update of their own
  int group = 0;
  std::int64_t commit_unix_ms = 0;
};

// The role and the replication position that a server reported last.
struct ServerUpdate {
  std::string id;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_unix_ms = 0;  // 0: none
};

// A request that must not run twice has been accepted, so the peer must not forward it.
struct RequestIdUpdate {
  std::uint64_t key = 0;  // a requests::RequestIdKey
};

using PeerUpdate = std::variant<SessionUpdate, ServerUpdate>;

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_PEER_UPDATE_HPP_
