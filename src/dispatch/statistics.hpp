// Counters of the Dispatcher and the statistics shown to operators, with their text.
#ifndef TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_
#define TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/dispatch/outcome.hpp"

namespace tulipyoke {

using OutcomeCounters = std::array<std::uint64_t, kStatusCount>;  // by Status

// Totals since the start.
struct DispatchCounters {
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t overdue = 0;       // answered by the Dispatcher itself, after the deadline
  std::uint64_t disconnected = 0;  // the client left before its response
  std::uint64_t attempts = 0, probes = 0, endpoint_lists = 0;
  OutcomeCounters attempt_outcomes{}, probe_outcomes{};
};
// `name=value` pairs, separated by spaces.
std::string ToText(const DispatchCounters& counters);

// Finished requests of one class, counted when the response is sent.
struct ClassStatistics {
  std::string name;
  std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;
};

struct DispatchStatistics {
  std::vector<ClassStatistics> classes;
  std::uint64_t upstream_attempts = 0;  // those whose last byte was written
  // At the present moment. Servers that the module passes over count as skipped.
  std::size_t in_progress = 0, known_servers = 0, skipped_servers = 0;
};
// One `name=value` pair each, followed by `separator`.
std::string ToText(const DispatchStatistics& statistics, char separator);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_STATISTICS_HPP_
