// `tulipyoke dns browse`: DNS-SD zones, live, as a router sees them.
#ifndef TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_
#define TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_

#include <iosfwd>
#include <string>
#include <vector>

namespace tulipyoke::cli {

// Either a configuration or a zone is named.
struct BrowseOptions {
  std::string file;    // a configuration, whose DNS-SD sources are shown
  std::string source;  // only that source of the file; empty: all
  std::string zone;
  std::string service = "_readings._tcp";
  std::string mode = "serial";
  std::vector<std::string> resolvers;  // `IP:port` each
  double seconds = 5;                  // how long the zones are shown
  bool once = false;                   // ends as soon as all zones have been reported
};

// Writes a line for each change to `out`, and the complete view at the end. Returns the exit status.
int BrowseDns(const BrowseOptions& options, std::ostream& out);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_
