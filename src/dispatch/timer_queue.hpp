// The Dispatcher's pending timers, in the order in which they expire.
#ifndef TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_
#define TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

class TimerQueue {
 public:
  // At the same time the timeout of an operation comes before the timers of the decision module, these before
  // the end of a request's wait for a preceding write, and that before the check that a request was answered
  // by its deadline.
  enum class Kind { kOperationTimeout, kModuleTimer, kWriteWaitExpired, kRequestOverdue };

  struct Timer {
    Micros when = 0;
    Kind kind = Kind::kModuleTimer;
    std::uint64_t sequence = 0;  // timers of one time and kind expire in the order of their scheduling
    std::uint64_t id = 0;        // an OperationId, the module's token or a RequestId, by kind

    auto operator<=>(const Timer&) const = default;
  };

  void Schedule(Micros when, Kind kind, std::uint64_t id) {
    timers_.push({when, kind, next_sequence_, id});
    ++next_sequence_;
  }

  // Removes the next timer that has expired by `now`; nullopt if there is none.
  std::optional<Timer> PopExpired(Micros now) {
    if (timers_.empty() || timers_.top().when > now) return std::nullopt;
    const Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

  // When the next timer expires.
  std::optional<Micros> NextExpiry() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.top().when;
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_TIMER_QUEUE_HPP_
