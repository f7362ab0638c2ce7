// Updates latency, load, roles, positions and commits from responses and load reports.
#ifndef TULIPYOKE_SRC_ENDPOINTS_OUTCOME_OBSERVER_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_OUTCOME_OBSERVER_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/sessions/consistency_tokens.hpp"

namespace tulipyoke::endpoints {

// How the outcome of an attempt compares with the latency objective of its class.
struct OutcomeTiming {
  bool in_time = false;
  bool overloaded = false;  // a sign that the server is overloaded
};
OutcomeTiming ClassifyTiming(const AttemptEnded& outcome, const ClassSettings& c);

class OutcomeObserver {
 public:
  OutcomeObserver(RoutingContext& context, EndpointTable& table, sessions::ConsistencyTokens& tokens)
      : context_(context), table_(table), tokens_(tokens) {}

  // Handles the end of an attempt at the server.
  void ObserveAttempt(Server& server, const estimates::InFlightAttempt& attempt, const AttemptEnded& outcome,
                      Micros now);
  // Handles a load report. Returns true if it shows a newer position.
  bool ObserveReport(Server& server, const Report& report, Micros now);
  // Handles an observation made by another process of this router.
  void ObserveServer(Server& server, const ServerObservation& observation, Micros now);

 private:
  void UpdateLatencyModel(Server& server, int class_index, const AttemptEnded& outcome, Micros now);
  void UpdateLoadLimits(Server& server, int class_index, const AttemptEnded& outcome, Micros now);
  void UpdateRoleAndPosition(Server& server, const estimates::InFlightAttempt& attempt,
                             const AttemptEnded& outcome, Micros now);
  void RecordCommit(const Server& server, const estimates::InFlightAttempt& attempt,
                    const AttemptEnded& outcome, Micros now);
  void ObservePosition(Server& server, Micros position, estimates::PositionKind kind, Micros now);

  RoutingContext& context_;
  EndpointTable& table_;
  sessions::ConsistencyTokens& tokens_;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_OUTCOME_OBSERVER_HPP_
