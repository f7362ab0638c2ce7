// Translates the outcomes of attempts and probes into events for the routing policy.
#ifndef TULIPYOKE_SRC_DISPATCH_OUTCOME_TRANSLATOR_HPP_
#define TULIPYOKE_SRC_DISPATCH_OUTCOME_TRANSLATOR_HPP_

#include <cstdint>
#include <optional>

#include "src/dispatch/in_flight_table.hpp"
#include "src/dispatch/outcome.hpp"
#include "src/dispatch/position_scale.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Holds references to both constructor arguments, which must outlive it.
class OutcomeTranslator {
 public:
  OutcomeTranslator(const Settings& settings, const PositionScale& position_scale)
      : settings_(settings), position_scale_(position_scale) {}

  // Whether the attempt was a write that succeeded.
  bool IsCommit(const Operation& operation, const Outcome& outcome) const;
  // Leaves `request_ended` unset: the caller knows whether the request has ended.
  AttemptEnded ToAttemptEnded(Micros now, const Operation& operation, const Outcome& outcome) const;
  HealthCheckEnded ToHealthCheckEnded(Micros now, const Operation& operation, const Outcome& outcome) const;
  // The role and position that the server reported at the end of a streaming response.
  ServerObservation ToServerObservation(Micros now, const Operation& operation, const Outcome& outcome) const;

 private:
  std::optional<std::int64_t> Position(const Operation& operation, const Outcome& outcome) const;
  Report ToReport(const LoadReport& fields) const;

  const Settings& settings_;
  const PositionScale& position_scale_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_OUTCOME_TRANSLATOR_HPP_
