// Decides which reads to shed under overload and which of those the primary's spare capacity may serve.
#ifndef TULIPYOKE_SRC_POLICY_ADMISSION_HPP_
#define TULIPYOKE_SRC_POLICY_ADMISSION_HPP_

#include <vector>

#include "src/endpoints/endpoint_table.hpp"
#include "src/limits/retry_detector.hpp"
#include "src/requests/request.hpp"

namespace tulipyoke::policy {

using requests::Request;

class Admission {
 public:
  Admission(endpoints::RoutingContext& context, endpoints::EndpointTable& table);

  // The priority of a request that has just arrived. A late retry gets a lower one.
  double PriorityOf(int class_index, Micros client_timeout);
  // Whether to shed a read. The decision is made once per read.
  bool ShouldShed(Request& read, Micros now);
  // Whether the read may use the primary's headroom. The decision is random, except that a read which has
  // checked the primary's queue may use it.
  bool MayUseHeadroom(const Request& read, Micros now);
  // Whether a replica has been observed within the staleness bound of a bounded read, allowing for the
  // longest deadline. If so, the read was shed because of overload and not because of lag.
  bool HasReplicaWithinBound(const Request& read, Micros now) const;
  // Whether the group admits all reads, so its recent responses were in time.
  bool AdmitsAllReads(int group, Micros now) const;

 private:
  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
  std::vector<limits::RetryDetector> retry_detectors_;  // indexed by class
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_ADMISSION_HPP_
