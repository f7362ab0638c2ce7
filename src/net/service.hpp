// Whether this process takes clients: one state, which the operators' door, the empty query and the signals
// ask and move. No I/O and no clock of its own.
#ifndef TULIPYOKE_SRC_NET_SERVICE_HPP_
#define TULIPYOKE_SRC_NET_SERVICE_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

class Service {
 public:
  enum class State { kStarting, kInService, kOutOfService, kStopping };

  // It takes clients now, unless it was taken out of service before it was ready.
  void Start() {
    if (state_ == State::kStarting) state_ = State::kInService;
  }
  void TakeOut(Micros now) {
    if (state_ == State::kStarting || state_ == State::kInService) Leave(now, State::kOutOfService);
  }
  // False: it is stopping, and there is no way back.
  bool PutBack() {
    if (state_ == State::kStopping) return false;
    if (state_ == State::kOutOfService) state_ = State::kInService;
    return true;
  }
  void Stop(Micros now) {
    if (state_ == State::kOutOfService) state_ = State::kStopping;
    if (state_ != State::kStopping) Leave(now, State::kStopping);
  }

  State state() const { return state_; }
  // What the door and the empty query answer.
  bool ready() const { return state_ == State::kInService; }
  // Each connection closes behind its next answer.
  bool leaving() const { return state_ == State::kOutOfService || state_ == State::kStopping; }
  // Clients that were sent here before the word got round have come by now: idle connections close.
  bool ReleasesIdle(Micros now) const { return leaving() && now - since_ >= kWindow; }
  // So late a request is refused, that nothing is still out when the router has to be empty.
  bool Refuses(Micros now) const { return state_ == State::kOutOfService && now - since_ >= kServeOn; }

 private:
  // The front asks every 0.1 s and sends connections for 0.2 s after the first no; on a stop for 0.4 s.
  static constexpr Micros kWindow = 500'000;
  static constexpr Micros kServeOn = 1'700'000;

  void Leave(Micros now, State state) {
    state_ = state;
    since_ = now;
  }

  State state_ = State::kStarting;
  Micros since_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_SERVICE_HPP_
