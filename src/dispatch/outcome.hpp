// What comes back from a server for one attempt or probe, whatever protocol it speaks.
#ifndef TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_
#define TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// A value as a server gave it. `row_description` is that protocol's own description of the value and
// `command_tag` its word for what was done; a front that speaks the same protocol passes them on, another one
// needs the value alone.
struct QueryResult {
  std::string row_description, value, command_tag;
};

struct Outcome {
  Status status = Status::kOk;
  QueryResult result = {};  // with Status::kOk
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_unix_ms = {};
  std::vector<std::pair<std::string, double>> report = {};  // by field name; positions as on sockets
};

// "inflight=7,util=0.61"; empty where any part of it cannot be read: the rest is not to be trusted either.
std::vector<std::pair<std::string, double>> ParseLoadReport(const std::string& text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_OUTCOME_HPP_
