// How long an idle connection to a server may still be used, given that the server closes it at some point.
#ifndef TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_
#define TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

class IdlePolicy {
 public:
  // The servers close connections that have been idle for `server_idle_timeout` microseconds.
  explicit IdlePolicy(Micros server_idle_timeout) : server_idle_timeout_(server_idle_timeout) {}

  // A connection that has been idle since before then must not be used any more: its server may close it at
  // any moment, and a query that crosses the close ends as a reset.
  Micros OldestUsable(Micros now) const;
  // How often idle connections are to be checked.
  Micros CheckInterval() const;

 private:
  Micros server_idle_timeout_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_IDLE_POLICY_HPP_
