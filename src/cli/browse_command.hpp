// `tulipyoke dns browse`: shows live how a router sees DNS-SD zones.
#ifndef TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_
#define TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_

#include <iosfwd>
#include <string>
#include <vector>

namespace tulipyoke::cli {

// Exactly one of `file` and `zone` is set.
struct BrowseOptions {
  std::string file;    // a configuration whose DNS-SD sources are browsed
  std::string source;  // browses only this source of the file; empty: all
  std::string zone;
  std::string service = "_readings._tcp";
  std::string mode = "serial";
  std::vector<std::string> resolvers;  // `IP:port` each
  double seconds = 5;                  // how long the zones are browsed
  bool once = false;                   // stops as soon as all zones have been reported
};

// Writes a line to `out` for each changed server and, at the end, the state of all zones and servers. Returns
// the exit status.
int BrowseDns(const BrowseOptions& options, std::ostream& out);

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_BROWSE_COMMAND_HPP_
