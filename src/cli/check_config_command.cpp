#include "src/cli/check_config_command.hpp"

#include <cstddef>
#include <exception>
#include <ostream>

#include "src/cli/exit_status.hpp"
#include "src/config/config.hpp"
#include "src/config/config_error.hpp"

namespace tulipyoke::cli {

int CheckConfig(const std::string& file, std::ostream& out) {
  try {
    const Config config = ParseConfig(ReadFile(file));
    ValidateForStart(config);
    // Without a `membership` section, the registry is the only source.
    const std::size_t source_count = config.membership.enabled() ? config.membership.sources.size() : 1;
    out << file << ": " << config.settings.classes.size() << " classes, "
        << config.cached_listing.servers.size() << " known servers, " << source_count
        << " sources of servers\n";
    return kExitSuccess;
  } catch (const std::exception& error) {
    out << file << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace tulipyoke::cli
