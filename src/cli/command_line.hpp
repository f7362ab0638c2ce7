// The command line: subcommands and their options.
#ifndef TULIPYOKE_SRC_CLI_COMMAND_LINE_HPP_
#define TULIPYOKE_SRC_CLI_COMMAND_LINE_HPP_

namespace tulipyoke::cli {

// Parses the arguments and runs the selected subcommand, `run` by default. Returns the exit status.
int Main(int argc, const char* const* argv);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_COMMAND_LINE_HPP_
