// Where a request with an idempotency key may be sent again.
#ifndef TULIPYOKE_SRC_POLICY_RETRY_SCOPE_HPP_
#define TULIPYOKE_SRC_POLICY_RETRY_SCOPE_HPP_

#include "src/endpoints/server.hpp"
#include "src/requests/request.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::policy {

// Whether the request may be sent to the server. Once an attempt may have been executed or is in flight, a
// repeat is discarded only by the servers that share the knowledge of its key. RetryScope::kCell needs no
// check: a request is only ever sent to members of its own group.
inline bool ScopeAllows(const ClassSettings& c, const requests::Request& request,
                        const endpoints::Server& server) {
  if (c.idempotency != Idempotency::kWithKey || c.retry_scope != RetryScope::kZone) return true;
  const bool may_be_a_repeat = request.may_have_executed || request.in_flight > 0;
  return !may_be_a_repeat || server.zone == request.execution_zone;
}

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_RETRY_SCOPE_HPP_
