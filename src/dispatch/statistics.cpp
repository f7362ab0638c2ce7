#include "src/dispatch/statistics.hpp"

namespace tulipyoke {
namespace {

void AppendOutcomes(std::string& text, const std::string& prefix, const OutcomeCounters& outcomes,
                    bool skip_zero) {
  for (std::size_t i = 0; i < kStatusCount; ++i) {
    if (skip_zero && outcomes[i] == 0) continue;
    text +=
        " " + prefix + std::string(StatusName(static_cast<Status>(i))) + "=" + std::to_string(outcomes[i]);
  }
}

}  // namespace

std::string ToText(const DispatchCounters& counters) {
  std::string text = "taken=" + std::to_string(counters.received);
  const auto append = [&](const std::string& name, std::uint64_t value) {
    text += " " + name + "=" + std::to_string(value);
  };
  append("served", counters.served);
  append("refused", counters.rejected);
  append("failed", counters.failed);
  append("overdue", counters.overdue);
  append("left", counters.disconnected);
  append("attempts", counters.attempts);
  AppendOutcomes(text, "attempt_", counters.attempt_outcomes, false);
  append("probes", counters.probes);
  AppendOutcomes(text, "probe_", counters.probe_outcomes, true);
  append("lists", counters.endpoint_lists);
  return text;
}

std::string ToText(const DispatchStatistics& statistics, char separator) {
  std::string text;
  const auto append = [&](const std::string& name, std::uint64_t value) {
    text += name + "=" + std::to_string(value) + separator;
  };
  for (const ClassStatistics& class_statistics : statistics.classes) {
    append("passed." + class_statistics.name, class_statistics.passed);
    append("dropped." + class_statistics.name, class_statistics.dropped);
    append("bad_gateway." + class_statistics.name, class_statistics.bad_gateway);
  }
  append("upstream_tries", statistics.upstream_attempts);
  append("in_progress", statistics.in_progress);
  append("known_readings_servers", statistics.known_servers);
  append("skipped_readings_servers", statistics.skipped_servers);
  return text;
}

}  // namespace tulipyoke
