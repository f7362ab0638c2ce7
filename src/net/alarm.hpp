// A timer whose going off counts only while it is still set. The loop queues what has come due, and what is
// queued cannot be taken back by the timer itself: a wait that was ended or begun anew in the same turn would
// be told that its old time is over. Here each setting is one of its own, and one that was replaced or called
// off is never heard of.
#ifndef TULIPYOKE_SRC_NET_ALARM_HPP_
#define TULIPYOKE_SRC_NET_ALARM_HPP_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

class Alarm {
 public:
  explicit Alarm(asio::io_context& io) : timer_(io) {}
  // It may go with what it would have woken, also while an expired wait is queued.
  ~Alarm() { Off(); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  void In(asio::steady_timer::duration time, std::function<void()> call) {
    At(asio::steady_timer::clock_type::now() + time, std::move(call));
  }
  void At(asio::steady_timer::time_point when, std::function<void()> call) {
    Off();
    timer_.expires_at(when);
    setting_ = std::make_shared<std::function<void()>>(std::move(call));
    timer_.async_wait([setting = std::weak_ptr(setting_)](std::error_code) {
      if (const auto due = setting.lock()) std::exchange(*due, {})();
    });
  }
  void Off() {
    setting_.reset();
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<std::function<void()>> setting_;  // none: it is off
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_ALARM_HPP_
