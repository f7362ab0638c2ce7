// What comes back from a server for one attempt or probe, whatever protocol it speaks.
#ifndef TULIPYOKE_SRC_EXCHANGE_OUTCOME_HPP_
#define TULIPYOKE_SRC_EXCHANGE_OUTCOME_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// A value as a server gave it. `shape` is that protocol's own description of the value and `tag` its word for
// what was done; a front that speaks the same protocol passes them on, another one needs the value alone.
struct ServedValue {
  std::string shape, value, tag;
};

struct Outcome {
  Status status = Status::kOk;
  ServedValue served = {};  // with Status::kOk
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_unix_ms = {};
  std::vector<std::pair<std::string, double>> report = {};  // by field name; positions as on sockets
};

// "inflight=7,util=0.61"; empty where any part of it cannot be read: the rest is not to be trusted either.
std::vector<std::pair<std::string, double>> ParseReport(const std::string& text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_EXCHANGE_OUTCOME_HPP_
