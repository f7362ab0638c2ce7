// The pending timers of the Dispatcher, ordered by expiry.
#ifndef TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_
#define TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

class TimerQueue {
 public:
  // Timers that expire at the same time are handled in the order of their kinds: operation timeouts, timers
  // of the routing policy, the end of a request's wait for a preceding write, and finally the check that a
  // request has been answered.
  enum class Kind { kOperationTimeout, kPolicyTimer, kWriteWaitExpired, kRequestOverdue };

  struct Timer {
    Micros when = 0;
    Kind kind = Kind::kPolicyTimer;
    std::uint64_t sequence = 0;  // orders timers of the same time and kind as they were scheduled
    std::uint64_t id = 0;        // by kind: an OperationId, the policy's token or a RequestId

    auto operator<=>(const Timer&) const = default;
  };

  void Schedule(Micros when, Kind kind, std::uint64_t id) {
    timers_.push_back({when, kind, next_sequence_, id});
    std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
    ++next_sequence_;
  }

  // Removes and returns the next timer that has expired by `now`; nullopt if there is none.
  std::optional<Timer> PopExpired(Micros now) {
    if (timers_.empty() || timers_.front().when > now) return std::nullopt;
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    const Timer timer = timers_.back();
    timers_.pop_back();
    return timer;
  }

  // When the next timer expires; nullopt if there is none.
  std::optional<Micros> NextExpiry() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.front().when;
  }

  // Removes the timers for which `is_stale` returns true. Takes time in proportion to all timers.
  template <typename IsStale>
  void Discard(const IsStale& is_stale) {
    std::erase_if(timers_, is_stale);
    std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
  }
  std::size_t size() const { return timers_.size(); }

 private:
  std::vector<Timer> timers_;  // a heap with the next timer at the front
  std::uint64_t next_sequence_ = 0;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_
