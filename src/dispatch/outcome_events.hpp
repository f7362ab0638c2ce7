// Translates the outcomes of attempts and probes into events of the decision module.
#ifndef TULIPYOKE_SRC_DISPATCH_OUTCOME_EVENTS_HPP_
#define TULIPYOKE_SRC_DISPATCH_OUTCOME_EVENTS_HPP_

#include <cstdint>
#include <optional>

#include "src/dispatch/in_flight_table.hpp"
#include "src/dispatch/outcome.hpp"
#include "src/dispatch/position_scale.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Keeps references to both arguments; their owner is also the owner of this.
class OutcomeEvents {
 public:
  OutcomeEvents(const Settings& settings, const PositionScale& positions)
      : settings_(settings), positions_(positions) {}

  // Whether the outcome is a committed write.
  bool IsCommit(const Operation& operation, const Outcome& outcome) const;
  // Without `over`, which depends on what becomes of the request.
  AttemptEnded ToAttemptEnded(Micros now, const Operation& operation, const Outcome& outcome) const;
  HealthCheckEnded ToProbeEnded(Micros now, const Operation& operation, const Outcome& outcome) const;
  // What the end of a streamed response shows about its server.
  ServerObservation ToServerShown(Micros now, const Operation& operation, const Outcome& outcome) const;

 private:
  std::optional<std::int64_t> Position(const Operation& operation, const Outcome& outcome) const;
  Report ToReport(const LoadReport& fields) const;

  const Settings& settings_;
  const PositionScale& positions_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_OUTCOME_EVENTS_HPP_
