// Admission control for the reads of a replica group.
//
// The client of a rejected read comes back after its wait, and by then its latency objective has passed or
// nearly so. Where as many new requests are rejected as retries are admitted, an overloaded group spends its
// capacity on answers that are worth little. So retries are rejected first.
#ifndef TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_
#define TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_

#include <array>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of a group's reads that is admitted: it grows with each answer in time and falls with each late
// one, and returns to 1 when nothing confirms it.
class AdmissionControl {
 public:
  double AdmittedShare(Micros now, Micros decay_time) const;
  // Notes an answer. One after a silence counts for as many as come at every `interval`, up to a few.
  void Observe(Micros now, Micros decay_time, Micros interval, bool in_time);
  // Whether to reject a read of that priority; `draw` is uniform in [0, 1). Reads of a lower priority than
  // the newest ones make way for these.
  bool ShouldReject(Micros now, Micros decay_time, double priority, double draw);

 private:
  static constexpr std::size_t kPriorityHistorySize = 32;

  double admitted_share_ = 1;
  Micros observed_at_ = 0;
  std::array<double, kPriorityHistorySize> priorities_{};  // of the newest reads
  std::size_t read_count_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_
