// The program's sub-commands. Each returns the status that the program ends with.
#ifndef TULIPYOKE_SRC_CLI_COMMANDS_HPP_
#define TULIPYOKE_SRC_CLI_COMMANDS_HPP_

#include <iosfwd>
#include <string>
#include <vector>

namespace tulipyoke::cli {

// Serves as LB_CONFIG says, until it is told to stop.
int Run(const std::string& log_form, bool trace);

// Whether the program could start with that file; what is wrong goes to `out` with its path.
int CheckConfig(const std::string& file, std::ostream& out);

struct Browse {
  std::string file;    // a configuration: its DNS-SD sources
  std::string source;  // only that one
  std::string zone, service = "_readings._tcp", mode = "serial";
  std::vector<std::string> resolvers;  // without a file
  double seconds = 5;
  bool once = false;  // ends as soon as the zone has been told
};
// Shows zones live, as a router sees them: a line for each change, the whole view at the end.
int BrowseDns(const Browse& browse, std::ostream& out);

// The whole command line.
int Main(int argc, const char* const* argv);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_COMMANDS_HPP_
