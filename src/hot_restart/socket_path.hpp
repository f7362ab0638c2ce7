// The paths of the Unix sockets over which the processes of one router connect for a hot restart.
#ifndef TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_

#include <cstdint>
#include <optional>
#include <string>

namespace tulipyoke::net {

struct HotRestartSocketPaths {
  std::string shared;     // where a process listens for a newer one; the same for all processes of a router
  std::string temporary;  // unique to this process; its socket is created here and renamed to the shared path
};

// `directory` is shared by all processes of the router, and `name` is the router's name; `seed` must differ
// between its processes. Returns none if the paths are too long for a Unix socket.
std::optional<HotRestartSocketPaths> MakeSocketPaths(const std::string& directory, const std::string& name,
                                                     std::uint64_t seed);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_SOCKET_PATH_HPP_
