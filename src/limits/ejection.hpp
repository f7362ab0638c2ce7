// Excludes one server from selection: as an outlier until it responds again, and for a backoff period after
// it rejected an attempt or refused a connection.
#ifndef TULIPYOKE_SRC_LIMITS_EJECTION_HPP_
#define TULIPYOKE_SRC_LIMITS_EJECTION_HPP_

#include "src/estimates/random.hpp"
#include "src/estimates/time_scales.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

enum class EjectionReason { kUnreachable, kSlow };

class Ejection {
 public:
  bool ejected() const { return ejected_; }
  // The time of the newest failure that ejected the server or renewed its ejection.
  Micros last_ejected() const { return last_ejected_; }
  Micros backoff() const { return backoff_; }
  bool InBackoff(Micros now) const { return now < next_attempt_; }

  // Ejects the server, or renews the ejection after a failed trial. Returns false if the server is already
  // ejected and still in its backoff; then neither the ejection nor the backoff changes.
  bool Eject(Micros now, EjectionReason reason, const estimates::TimeScales& scales,
             estimates::Random& random);
  // Starts a backoff that doubles each time until the server responds. It has random jitter, so that
  // routers that were rejected together do not retry together.
  void StartBackoff(Micros now, const estimates::TimeScales& scales, estimates::Random& random);
  // Handles a response. Returns true if the server was unreachable for longer than `restart_time`, so that
  // it may have restarted before the endpoint list shows it. The caller then calls Reinstate.
  bool OnResponse(Micros now, Micros restart_time);
  void Reinstate();
  // Handles a restart of the server at `when`: failures from before it no longer count.
  void OnRestart(Micros when);

 private:
  bool ejected_ = false;
  bool unreachable_ = false;  // an attempt or a health check could not reach the process while it was ejected
  Micros first_ejected_ = 0;
  Micros last_ejected_ = 0;
  Micros next_attempt_ = 0;
  Micros backoff_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_EJECTION_HPP_
