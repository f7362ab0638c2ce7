// What a server returned for one attempt or probe, whatever protocol it speaks.
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

// A value as a server returned it. `row_description` and `command_tag` are in the server's protocol: a client
// of the same protocol gets them unchanged, a client of another one needs only the value.
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
  QueryResult result = {};  // with Status::kOk
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_unix_ms = {};
  LoadReport report = {};
};

inline constexpr std::size_t kStatusCount = 9;

inline std::size_t IndexOf(Status status) { return static_cast<std::size_t>(status); }

// The status in counters and trace lines, e.g. "connect_failed".
std::string_view StatusName(Status status);

// Whether the server certainly did not begin to execute the attempt.
bool CannotHaveRun(Status status);

// Parses "inflight=7,util=0.61". A report with any malformed part is dropped as a whole: the result is empty.
LoadReport ParseLoadReport(const std::string& text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_
