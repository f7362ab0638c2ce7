#include "src/hot_restart/socket_path.hpp"

#include <sys/un.h>
#include <unistd.h>

#include <cctype>

namespace tulipyoke::net {
namespace {

// Replaces the characters of a router's name that may not be allowed in a file name.
std::string ToFileName(const std::string& name) {
  std::string file_name;
  for (const char c : name) {
    const bool safe = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
    file_name += safe ? c : '_';
  }
  return file_name;
}

}  // namespace

std::optional<HotRestartSocketPaths> MakeSocketPaths(const std::string& directory, const std::string& name,
                                                     std::uint64_t seed) {
  HotRestartSocketPaths paths;
  paths.shared = directory + "/tulipyoke-" + ToFileName(name) + ".sock";
  paths.temporary = paths.shared + "." + std::to_string(seed) + "." + std::to_string(::getpid());
  if (paths.temporary.size() >= sizeof(sockaddr_un::sun_path)) return std::nullopt;
  return paths;
}

}  // namespace tulipyoke::net
