// A timer whose callback is never called after it was cancelled or set anew. Asio queues the handler of an
// expired timer, and a queued handler cannot be withdrawn: a plain timer that is cancelled or re-armed in the
// same iteration of the loop would still report its old expiry. Here each setting has a state of its own, and
// the handler of a setting that was replaced finds that state gone.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

// Used on the event loop's thread only.
class CancellableTimer {
 public:
  using Callback = std::function<void()>;

  explicit CancellableTimer(asio::io_context& io) : timer_(io) {}
  // The timer may be destroyed together with what its callback uses, also while an expiry is queued.
  ~CancellableTimer() { Cancel(); }
  CancellableTimer(const CancellableTimer&) = delete;
  CancellableTimer& operator=(const CancellableTimer&) = delete;

  // Calls `callback` once, that long from now; replaces whatever was set before.
  void ExpireAfter(asio::steady_timer::duration delay, Callback callback) {
    ExpireAt(asio::steady_timer::clock_type::now() + delay, std::move(callback));
  }
  // Calls `callback` once at that time; replaces whatever was set before.
  void ExpireAt(asio::steady_timer::time_point time, Callback callback) {
    Cancel();
    timer_.expires_at(time);
    pending_ = std::make_shared<Callback>(std::move(callback));
    timer_.async_wait([pending = std::weak_ptr(pending_)](std::error_code) {
      const std::shared_ptr<Callback> current = pending.lock();
      if (!current) return;
      // Taken out first, so that the setting holds nothing any more once it has expired.
      const Callback expired = std::exchange(*current, {});
      expired();
    });
  }
  // The callback is not called any more. Without effect where nothing is set.
  void Cancel() {
    pending_.reset();
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<Callback> pending_;  // of the current setting; null: cancelled
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_CANCELLABLE_TIMER_HPP_
