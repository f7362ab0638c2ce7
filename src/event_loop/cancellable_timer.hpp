// A timer that never calls its callback after it was cancelled or re-armed. Asio queues the handler of an
// expired timer and cannot withdraw it: a plain asio timer that is cancelled or re-armed in the same
// iteration of the event loop still reports its old expiry. Here each handler holds a weak pointer to its
// callback, which cancelling or re-arming the timer destroys.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

// Not thread-safe: used only on the event loop's thread.
class CancellableTimer {
 public:
  using Callback = std::function<void()>;

  explicit CancellableTimer(asio::io_context& io) : timer_(io) {}
  // The timer and the objects that its callback uses may be destroyed while the handler of an expiry is
  // queued.
  ~CancellableTimer() { Cancel(); }
  CancellableTimer(const CancellableTimer&) = delete;
  CancellableTimer& operator=(const CancellableTimer&) = delete;

  // Calls `callback` once after `delay`. Replaces the previous expiry and its callback.
  void ExpireAfter(asio::steady_timer::duration delay, Callback callback) {
    ExpireAt(asio::steady_timer::clock_type::now() + delay, std::move(callback));
  }
  // Calls `callback` once at `time`. Replaces the previous expiry and its callback.
  void ExpireAt(asio::steady_timer::time_point time, Callback callback) {
    Cancel();
    timer_.expires_at(time);
    callback_ = std::make_shared<Callback>(std::move(callback));
    timer_.async_wait([weak_callback = std::weak_ptr(callback_)](std::error_code) {
      const std::shared_ptr<Callback> locked_callback = weak_callback.lock();
      if (!locked_callback) return;
      // Moved out before the call, so that the timer holds no callback once it has expired.
      const Callback expired_callback = std::exchange(*locked_callback, {});
      expired_callback();
    });
  }
  // Prevents the pending call of the callback, if there is one.
  void Cancel() {
    callback_.reset();
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<Callback> callback_;  // null: cancelled or never armed
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_
