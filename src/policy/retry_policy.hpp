// Whether a request may be sent, or sent again, and whether it may be rejected.
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

  // A request has arrived: the retry budget grows by a share of a retry.
  void Refill();
  bool MayAttempt(const Request& request, Micros now) const;
  // The time after which waiting earns nothing. A request that was not sent by half its time is rejected: its
  // client has better odds when it comes back.
  Micros LastUseful(const Request& request) const;
  // Notes the failure of an attempt that was sent at `sent`.
  void NoteFailure(Request& request, Status status, Micros sent) const;
  // Takes a retry after such a failure from the budget; false where that is spent.
  bool TakeRetry(Status status);
  // Whether the client may be told to send it again.
  bool MayReject(const Request& request) const;

 private:
  const endpoints::RoutingContext& context_;
  limits::TokenBudget budget_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_RETRY_POLICY_HPP_
