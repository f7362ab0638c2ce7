// One line on standard error; docs/on-call.md explains each of them.
#ifndef TULIPYOKE_SRC_NET_LOG_HPP_
#define TULIPYOKE_SRC_NET_LOG_HPP_

#include <cstdio>
#include <string>

namespace tulipyoke::net {

inline void LogLine(const std::string& text) {
  const std::string line = "tulipyoke: " + text + "\n";
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_LOG_HPP_
