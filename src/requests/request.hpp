// The state of a request from its arrival to its end.
#ifndef TULIPYOKE_SRC_REQUESTS_REQUEST_HPP_
#define TULIPYOKE_SRC_REQUESTS_REQUEST_HPP_

#include <map>
#include <optional>
#include <vector>

#include "src/endpoints/server.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::requests {

struct Request {
  RequestId id = 0;
  int class_index = 0;
  int group = 0;
  std::uint64_t key = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  Micros session_position = estimates::kNoPosition;  // required by the writes of its session
  int attempts = 0;
  int in_flight = 0;
  int queue_checks = 0;                                 // servers that were asked to report their queue
  int stale_rejections = 0;                             // replicas that rejected it as too stale
  ServerId queue_check_server = 0;                      // the server asked last
  Micros queue_check_until = 0;                         // it waits for that report until then
  Micros first_possible_execution = endpoints::kNever;  // earliest send that may have run or is in flight
  int execution_zone = 0;                               // of the server that got that send
  bool may_have_executed = false;
  bool parked = false;
  bool admission_decided = false;
  bool shed = false;
  double priority = 0;  // the value of its response
  std::optional<ServerId> awaited_replica = {};
  Micros reselect_at = 0;
  std::vector<ServerId> failed_servers = {};
};

using RequestTable = std::map<RequestId, Request>;

}  // namespace tulipyoke::requests

#endif  // TULIPYOKE_SRC_REQUESTS_REQUEST_HPP_
