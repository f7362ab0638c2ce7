// Where the processes of one router find each other for a hot restart.
#ifndef TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_

#include <cstdint>
#include <optional>
#include <string>

namespace tulipyoke::net {

struct HotRestartSocketPaths {
  std::string shared;  // where a process listens for its successor: the same for all processes of a router
  std::string unpublished;  // this process's own, from which its socket is renamed to the shared path
};

// `folder` is shared by all processes of the router, `name` is the router's; `seed` differs between its
// processes. None where the paths are too long for a Unix socket.
std::optional<HotRestartSocketPaths> MakeSocketPaths(const std::string& folder, const std::string& name,
                                                     std::uint64_t seed);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_
