// Decides whether a request may be sent or retried and whether it may be rejected.
#ifndef TULIPYOKE_SRC_POLICY_RETRY_POLICY_HPP_
#define TULIPYOKE_SRC_POLICY_RETRY_POLICY_HPP_

#include "src/endpoints/routing_context.hpp"
#include "src/limits/token_budget.hpp"
#include "src/requests/request.hpp"

namespace tulipyoke::policy {

using requests::Request;

class RetryPolicy {
 public:
  explicit RetryPolicy(const endpoints::RoutingContext& context);

  // Refills the retry budget by the part of a retry that one arriving request adds.
  void Refill();
  bool MayAttempt(const Request& request, Micros now) const;
  // The time after which sending the request is no longer useful. A request that has not been sent by half of
  // its time is rejected, because its client has better odds when it retries.
  Micros LatestSendTime(const Request& request) const;
  // Records the failure of an attempt that was sent at `sent`.
  void RecordFailure(Request& request, Status status, Micros sent) const;
  // Takes the cost of a retry after this outcome from the budget. Returns false if the budget is exhausted.
  bool TryTakeRetry(Status status);
  // Whether the client may be told to send the request again.
  bool MayReject(const Request& request) const;

 private:
  const endpoints::RoutingContext& context_;
  limits::TokenBudget budget_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_RETRY_POLICY_HPP_
