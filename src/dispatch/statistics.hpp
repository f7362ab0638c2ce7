// The counters of the Dispatcher, the statistics shown to operators, and their text form.
#ifndef TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_
#define TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/dispatch/outcome.hpp"

namespace tulipyoke {

using OutcomeCounters = std::array<std::uint64_t, kStatusCount>;  // indexed by Status

// Totals since the start.
struct DispatchCounters {
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t overdue = 0;       // the Dispatcher itself responded, after the deadline
  std::uint64_t disconnected = 0;  // the client disconnected before its response
  std::uint64_t attempts = 0, probes = 0, endpoint_lists = 0;
  OutcomeCounters attempt_outcomes{}, probe_outcomes{};
};
// Returns `name=value` pairs separated by spaces.
std::string ToText(const DispatchCounters& counters);

// Responses to requests of one class, counted when sent; a streaming response is counted when it ends.
struct ClassStatistics {
  std::string name;
  std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;
};

struct DispatchStatistics {
  std::vector<ClassStatistics> classes;
  std::uint64_t upstream_attempts = 0;  // attempts whose last byte was written
  // Current values. A server is skipped while the policy avoids it.
  std::size_t in_progress = 0, known_servers = 0, skipped_servers = 0;
};
// Returns `name=value` pairs, each followed by `separator`.
std::string ToText(const DispatchStatistics& statistics, char separator);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_
