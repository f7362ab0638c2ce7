// The router as a program: reads its configuration, serves, and says in one line why it can't.
#include <csignal>
#include <exception>

#include "src/config/config.hpp"
#include "src/net/log.hpp"
#include "src/net/node.hpp"

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may end first
  try {
    tulipyoke::net::Node node(tulipyoke::LoadConfig());
    node.Run();
    return 0;
  } catch (const std::exception& error) {
    tulipyoke::net::LogLine(error.what());
    return 1;
  }
}
