// Limits how long an idle connection to a server is reused, since servers close idle connections.
#ifndef TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_
#define TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

class IdlePolicy {
 public:
  // `server_idle_timeout`: microseconds after which servers close an idle connection.
  explicit IdlePolicy(Micros server_idle_timeout) : server_idle_timeout_(server_idle_timeout) {}

  // A connection that became idle before the returned time must not be used: its server may close it at any
  // moment, and a query sent while it does so fails with a connection reset.
  Micros IdleSinceCutoff(Micros now) const;
  // The interval at which idle connections must be checked.
  Micros CheckInterval() const;

 private:
  Micros server_idle_timeout_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_
