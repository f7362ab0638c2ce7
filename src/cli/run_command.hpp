// `tulipyoke run`: the router in service.
#ifndef TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_
#define TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_

#include <string>

namespace tulipyoke::cli {

struct RunOptions {
  std::string log_format;  // `text` or `json`; empty: as configured
  bool trace = false;      // logs each step of each request
};

// Serves as the configuration named by LB_CONFIG says, until it is told to stop. Returns the exit status.
int Run(const RunOptions& options);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_RUN_COMMAND_HPP_
