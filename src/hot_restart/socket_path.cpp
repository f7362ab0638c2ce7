#include "src/hot_restart/socket_path.hpp"

#include <sys/un.h>
#include <unistd.h>

#include <cctype>

namespace tulipyoke::net {
namespace {

// Names of routers may contain what file names may not.
std::string ToFileName(const std::string& name) {
  std::string file_name;
  for (const char c : name) {
    const bool safe = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
    file_name += safe ? c : '_';
  }
  return file_name;
}

}  // namespace

std::optional<HotRestartSocketPaths> MakeSocketPaths(const std::string& folder, const std::string& name,
                                                     std::uint64_t seed) {
  HotRestartSocketPaths paths;
  paths.shared = folder + "/tulipyoke-" + ToFileName(name) + ".sock";
  paths.unpublished = paths.shared + "." + std::to_string(seed) + "." + std::to_string(::getpid());
  if (paths.unpublished.size() >= sizeof(sockaddr_un::sun_path)) return std::nullopt;
  return paths;
}

}  // namespace tulipyoke::net
