// How many cold servers are let in at a time. Each one that appears on the list is probed and connected to by
// every router at once; a flood of them would take the probes of the warm ones. A bucket of places, refilled
// evenly, is shared out among sets: the one with the fewest members in service goes first.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct AdmissionOptions {
  double burst = 8;  // let in at once after a quiet time
  double per_s = 4;  // and from then on
  // A set with fewer members in service than this takes new ones without waiting: nothing is left to protect.
  std::size_t needy = 1;
};

class Admission {
 public:
  explicit Admission(const AdmissionOptions& options) : options_(options), places_(options.burst) {}

  void Wait(const std::string& id, int group);
  void Leave(const std::string& id, int group);
  // The next to be let in; nothing while the places are used up. `ready` counts a set's members in service.
  std::optional<std::string> Next(Micros now, const std::function<std::size_t(int group)>& ready);
  // When Next may have one; nothing while nobody waits.
  std::optional<Micros> NextDue() const;
  std::size_t waiting() const;

 private:
  void Refill(Micros now);

  AdmissionOptions options_;
  double places_;
  Micros refilled_ = 0;
  std::map<int, std::deque<std::string>> queues_;  // by set, in the order they came; leave when empty
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_HPP_
