// How many cold servers are let in at a time. Each one that appears on the list is probed and connected to by
// every router at once; a flood of them would take the probes of the warm ones. A bucket of places, refilled
// evenly, is shared out among sets: the one with the fewest members in service goes first.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct AdmissionOptions {
  double burst = 8;            // let in at once after a quiet time
  double rate_per_second = 4;  // and from then on
  // A set with fewer members in service than this takes new ones without waiting: nothing is left to protect.
  std::size_t min_in_service = 1;
};

class AdmissionPacer {
 public:
  explicit AdmissionPacer(const AdmissionOptions& options) : options_(options), tokens_(options.burst) {}

  void Enqueue(const std::string& id, int group);
  void Remove(const std::string& id, int group);
  // The next to be let in; nothing while the places are used up. `ready` counts a set's members in service.
  std::optional<std::string> AdmitNext(Micros now, const std::function<std::size_t(int group)>& ready);
  // When Next may have one; nothing while nobody waits.
  std::optional<Micros> NextDue() const;
  std::size_t size() const;

 private:
  void Refill(Micros now);

  AdmissionOptions options_;
  double tokens_;
  Micros refilled_at_ = 0;
  std::map<int, std::deque<std::string>>
      queues_by_group_;  // by set, in the order they came; leave when empty
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_
