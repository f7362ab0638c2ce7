// `tulipyoke config check`: checks whether the router could start with a configuration.
#ifndef TULIPYOKE_SRC_CLI_CHECK_CONFIG_COMMAND_HPP_
#define TULIPYOKE_SRC_CLI_CHECK_CONFIG_COMMAND_HPP_

#include <iosfwd>
#include <string>

namespace tulipyoke::cli {

// Writes a summary of `file`, or its first error and where it is, to `out`. Returns the exit status.
int CheckConfig(const std::string& file, std::ostream& out);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_CHECK_CONFIG_COMMAND_HPP_
