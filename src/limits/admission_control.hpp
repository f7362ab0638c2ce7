// Admission control for the reads of a replica group.
//
// The client of a rejected read retries after its wait, when its latency objective has passed or nearly so.
// An overloaded group that rejects as many first attempts as it admits retries spends its capacity on
// responses of little value, so retries are rejected first.
#ifndef TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_
#define TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_

#include <array>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of a group's reads that is admitted. It grows with each response in time, falls with each late
// one, and decays back to 1 when there are no new observations.
class AdmissionControl {
 public:
  double AdmittedShare(Micros now, Micros decay_time) const;
  // Records a response. After a gap without responses it gets the weight of one response per `interval` of
  // the gap, up to a limit.
  void Observe(Micros now, Micros decay_time, Micros interval, bool in_time);
  // Returns whether to reject a read with this priority; `draw` is uniform in [0, 1). A read is rejected if
  // enough of the newest reads have a higher priority.
  bool ShouldReject(Micros now, Micros decay_time, double priority, double draw);

 private:
  static constexpr std::size_t kPriorityHistorySize = 32;

  double admitted_share_ = 1;
  Micros observed_at_ = 0;
  std::array<double, kPriorityHistorySize> priorities_{};  // ring buffer of the newest reads
  std::size_t read_count_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_ADMISSION_CONTROL_HPP_
