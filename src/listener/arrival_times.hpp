// Records when the unprocessed bytes of a stream arrived.
#ifndef TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_
#define TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Keeps at most kMaxMarks arrival times. Beyond that, bytes are merged with later ones and count as arrived
// later than they did.
class ArrivalTimes {
 public:
  // Records that `size` more bytes arrived at `now`.
  void Add(std::size_t size, Micros now) {
    arrived_ += size;
    const bool merges = !marks_.empty() && (marks_.size() >= kMaxMarks || marks_.back().time == now);
    if (merges) {
      marks_.back() = {arrived_, now};
    } else {
      marks_.push_back({arrived_, now});
    }
  }
  // Marks the next `size` bytes as processed and returns the time at which the last of them arrived.
  Micros Take(std::size_t size) {
    processed_ += size;
    while (marks_.size() > 1 && marks_.front().end_offset < processed_) marks_.pop_front();
    const Micros time = marks_.empty() ? 0 : marks_.front().time;
    while (!marks_.empty() && marks_.front().end_offset <= processed_) marks_.pop_front();
    return time;
  }

 private:
  static constexpr std::size_t kMaxMarks = 64;

  struct Mark {
    std::uint64_t end_offset = 0;  // number of bytes of the stream that had arrived by `time`
    Micros time = 0;
  };
  std::deque<Mark> marks_;
  std::uint64_t arrived_ = 0, processed_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_ARRIVAL_TIMES_HPP_
