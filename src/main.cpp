// The router as a program: reads its configuration, serves, and says in one line why it can't.
#include <malloc.h>

#include <csignal>
#include <exception>

#include "src/config/config.hpp"
#include "src/net/log.hpp"
#include "src/net/node.hpp"

int main() {
  // Large statements are given back to the system when they are through: memory is scarce.
  mallopt(M_MMAP_THRESHOLD, 128 << 10);
  std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may end first
  // Signals that come before the node handles them wait: one to reread the configuration must not end it.
  sigset_t handled, before;
  sigemptyset(&handled);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&handled, signal);
  sigprocmask(SIG_BLOCK, &handled, &before);
  try {
    tulipyoke::net::Node node(tulipyoke::LoadConfig());
    sigprocmask(SIG_SETMASK, &before, nullptr);
    node.Run();
    return 0;
  } catch (const std::exception& error) {
    tulipyoke::net::LogLine(error.what());
    return 1;
  }
}
