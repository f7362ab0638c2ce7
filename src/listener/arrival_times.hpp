// When the unprocessed bytes of a stream arrived.
#ifndef TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_
#define TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Bounded: if bytes arrived at more moments than are kept, some count as arrived later than they did.
class ArrivalTimes {
 public:
  // `size` further bytes arrived at `now`.
  void Add(std::size_t size, Micros now) {
    came_ += size;
    const bool merges = !marks_.empty() && (marks_.size() >= kMostMarks || marks_.back().when == now);
    if (merges) {
      marks_.back() = {came_, now};
    } else {
      marks_.push_back({came_, now});
    }
  }
  // The next `size` bytes are processed. Returns when the last of them arrived.
  Micros Take(std::size_t size) {
    taken_ += size;
    while (marks_.size() > 1 && marks_.front().up_to < taken_) marks_.pop_front();
    const Micros when = marks_.empty() ? 0 : marks_.front().when;
    while (!marks_.empty() && marks_.front().up_to <= taken_) marks_.pop_front();
    return when;
  }

 private:
  static constexpr std::size_t kMostMarks = 64;

  struct Mark {
    std::uint64_t up_to = 0;  // bytes of the stream that had arrived by then
    Micros when = 0;
  };
  std::deque<Mark> marks_;
  std::uint64_t came_ = 0, taken_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_
