// `tulipyoke run`: runs the router.
#ifndef TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_
#define TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_

#include <string>

namespace tulipyoke::cli {

struct RunOptions {
  std::string log_format;  // `text` or `json`; empty: taken from the configuration
  bool trace = false;      // logs each step of each request
};

// Serves with the configuration that LB_CONFIG names until a signal stops the server. Returns the exit
// status.
int Run(const RunOptions& options);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_
