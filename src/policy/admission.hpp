// Which reads are shed under overload, and which of these the primary serves in its spare capacity.
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

  // The worth of an answer to a request that has just arrived; less where it is a late retry.
  double PriorityOf(int class_index, Micros client_timeout);
  // Whether to shed a read; decided once for each.
  bool Sheds(Request& read, Micros now);
  // Whether the primary's headroom is to serve a read; drawn, unless it was for this read before.
  bool GrantsHeadroom(const Request& read, Micros now);
  // Whether a replica showed the position that a bounded read needs within a deadline: the read is shed for
  // overload then, not for lag.
  bool ReplicaWithinBound(const Request& read, Micros now) const;
  // Whether answers of the group were in time of late.
  bool IsCalm(int group, Micros now) const;

 private:
  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
  std::vector<limits::RetryDetector> retry_detectors_;  // by class
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_ADMISSION_HPP_
