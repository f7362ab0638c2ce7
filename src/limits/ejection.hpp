// Ejection of one server from selection: as an outlier, until it has answered again, and for a backoff after
// it rejected an attempt or could not be connected to.
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
  // The newest failure for which it was ejected.
  Micros last_ejected() const { return last_ejected_; }
  Micros backoff() const { return backoff_; }
  bool InBackoff(Micros now) const { return now < next_attempt_; }

  // Ejects the server, or renews the ejection after a failed trial. False, and nothing changes, where it is
  // ejected and no trial was due.
  bool Eject(Micros now, EjectionReason reason, const estimates::TimeScales& scales,
             estimates::Random& random);
  // Starts a backoff, longer each time until the server answers. It is drawn, so that routers that were
  // rejected together do not come back together.
  void StartBackoff(Micros now, const estimates::TimeScales& scales, estimates::Random& random);
  // Notes an answer. True where the server was out of reach for longer than `restart_time`, in which it can
  // have been restarted before the endpoint list says so. Reinstate follows.
  bool OnResponse(Micros now, Micros restart_time);
  void Reinstate();
  // The server was started at `when`: what was seen before does not count.
  void OnRestart(Micros when);

 private:
  bool ejected_ = false;
  bool unreachable_ = false;  // while ejected, an attempt or a health check found no process
  Micros first_ejected_ = 0;
  Micros last_ejected_ = 0;
  Micros next_attempt_ = 0;
  Micros backoff_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_EJECTION_HPP_
