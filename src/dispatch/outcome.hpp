// The outcome of an attempt or a probe, independent of the server's protocol.
#ifndef TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_
#define TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// A value that a server returned. `row_description` and `command_tag` are encoded in the server's protocol:
// they are forwarded unchanged to a client of the same protocol and ignored for any other client.
struct QueryResult {
  std::string row_description, value, command_tag;
};

// One field of a server's load report.
struct LoadReportField {
  std::string name;
  double value = 0;

  bool operator==(const LoadReportField&) const = default;
};
using LoadReport = std::vector<LoadReportField>;

struct Outcome {
  Status status = Status::kOk;
  QueryResult result = {};  // only with Status::kOk
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_unix_ms = {};
  LoadReport report = {};
};

inline constexpr std::size_t kStatusCount = 9;

inline std::size_t IndexOf(Status status) { return static_cast<std::size_t>(status); }

// The name of the status in counters and trace lines, e.g. "connect_failed".
std::string_view StatusName(Status status);

// Whether the status implies that the server did not execute the attempt.
bool IsCertainlyNotExecuted(Status status);

// Parses a load report such as "inflight=7,util=0.61". Returns an empty report if any field is malformed.
LoadReport ParseLoadReport(const std::string& text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_
