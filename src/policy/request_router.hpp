// Routes requests: sends, parks, retries, rejects or fails them.
#ifndef TULIPYOKE_SRC_POLICY_REQUEST_ROUTER_HPP_
#define TULIPYOKE_SRC_POLICY_REQUEST_ROUTER_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/health_checks.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/policy/admission.hpp"
#include "src/policy/replica_selector.hpp"
#include "src/policy/retry_policy.hpp"
#include "src/policy/slow_start.hpp"
#include "src/requests/parked_requests.hpp"
#include "src/requests/request.hpp"
#include "src/sessions/consistency_tokens.hpp"

namespace tulipyoke::policy {

using requests::Request;

class RequestRouter {
 public:
  RequestRouter(endpoints::RoutingContext& context, endpoints::EndpointTable& table,
                endpoints::HealthChecks& checks, SlowStart& slow_start, sessions::ConsistencyTokens& tokens);

  void Arrive(const RequestArrived& event, endpoints::EventScope& scope);
  // Handles the end of an attempt that was sent at `sent`. The caller has already updated the server's state.
  void AttemptEnded(const tulipyoke::AttemptEnded& outcome, Micros sent, endpoints::EventScope& scope);
  // Handles the end of the request's time, whether its deadline has passed or the router is shutting down.
  void TimeOut(RequestId id, endpoints::EventScope& scope);
  // Handles the disconnection of the client.
  void Cancel(RequestId id, endpoints::EventScope& scope);
  // Routes the parked requests of one group, or of all groups, again.
  void RouteParked(int group, endpoints::EventScope& scope);
  void RouteAllParked(endpoints::EventScope& scope);
  // Sets whether all session writes are known. While they are not, session reads need the present position.
  void SetSessionsKnown(bool known) { sessions_known_ = known; }

 private:
  using Server = endpoints::Server;
  using EventScope = endpoints::EventScope;

  Micros SessionPosition(const RequestArrived& event, Micros now) const;
  // Sends the request, parks it, or rejects or fails it.
  void Route(Request& request, EventScope& scope);
  void RouteToPrimary(Request& request, EventScope& scope);
  void RouteRead(Request& read, EventScope& scope);
  void RouteToReplica(Request& read, Server& replica, EventScope& scope);
  void WaitForAnyReplica(Request& read, EventScope& scope);
  void WaitForReplica(Request& read, Server& replica, Micros needed, EventScope& scope);
  void RouteToPrimaryHeadroom(Request& read, EventScope& scope);
  // Whether the read must wait until the server has reported its queue.
  bool WaitsForQueueReport(Request& read, Server& server, EventScope& scope);
  // Requests health checks of all members. Returns false if none is in progress.
  bool SearchForPrimary(int group, EventScope& scope);
  void Send(Request& request, Server& server, EventScope& scope);
  void Retry(Request& request, const tulipyoke::AttemptEnded& outcome, EventScope& scope);
  void RejectOrFail(Request& request, EventScope& scope);
  void CancelAttempts(RequestId id, EventScope& scope);
  Request* Find(RequestId id);

  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
  endpoints::HealthChecks& checks_;
  SlowStart& slow_start_;
  sessions::ConsistencyTokens& tokens_;
  ReplicaSelector selector_;
  Admission admission_;
  RetryPolicy retry_policy_;
  requests::ParkedRequests parked_;
  requests::RequestTable requests_;
  bool sessions_known_ = true;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_REQUEST_ROUTER_HPP_
